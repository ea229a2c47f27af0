import {expect, test} from 'vitest';
import {PlacementFleet} from '../testing/placement_fleet.ts';

const ENGINES = [{name: 'engine-1'}, {name: 'engine-2'}];
const MODEL = {name: 'model-1'};

function count(results: readonly {ok: boolean}[]): number {
  return results.filter(result => result.ok).length;
}

// Guards against loads that start too late for their requests' deadlines, and
// against requests that are neither served nor refused.
test('serves or refuses all requests of a burst for 40 idle models in time', async () => {
  const names = Array.from({length: 40}, (_unused, index) => `model-${index}`);
  const fleet = new PlacementFleet({
    hosts: 8,
    engines: [1, 2, 3, 4, 5, 6].map(index => ({name: `engine-${index}`})),
    models: names.map(name => ({name})),
  });
  await fleet.start();
  const results = names.flatMap((name, index) => [
    fleet.acquire(`host-${(index % 8) + 1}`, name, 30_000),
    fleet.acquire(`host-${((index + 3) % 8) + 1}`, name, 30_000),
  ]);
  await fleet.clock.advanceAsync(30_000);
  const acquired = await Promise.all(results);
  // 4 concurrent loads of 4 s each allow 28 loads in 30 s.
  expect(count(acquired)).toBeGreaterThanOrEqual(2 * 26);
  for (const result of acquired) {
    if (!result.ok) expect(result.error.run).toBe('not_run');
  }
  expect(fleet.store.mostTransfers).toBeLessThanOrEqual(4);
  for (const name of names) expect(fleet.loadsOf(name)).toBeLessThanOrEqual(1);
});

// Guards against a second load by a new controller that does not know of the
// load that its predecessor ordered.
test('does not repeat a load when its controller is killed', async () => {
  const fleet = new PlacementFleet({
    hosts: 3,
    engines: ENGINES,
    models: [MODEL],
  });
  await fleet.start();
  const result = fleet.acquire('host-2', 'model-1', 20_000);
  await fleet.clock.advanceAsync(1000);
  expect(fleet.loadsOf('model-1')).toBe(1);
  fleet.kill('host-1');
  await fleet.clock.advanceAsync(1000);
  fleet.giveTo('host-3');
  await fleet.clock.advanceAsync(10_000);
  expect((await result).ok).toBe(true);
  expect(fleet.loadsOf('model-1')).toBe(1);
});

// Guards against a second replica: an order that waits in a socket's buffer
// while its controller is paused reaches the engine after the take-over.
test.each([true, false])(
  'counts an order that is delayed past a take-over (fencing %s)',
  async checksFencing => {
    const fleet = new PlacementFleet({
      hosts: 3,
      engines: ENGINES.map(engine => ({...engine, checksFencing})),
      models: [MODEL],
    });
    await fleet.start();
    for (const engine of fleet.engines.values()) engine.holdsOrders = true;
    const result = fleet.acquire('host-2', 'model-1', 30_000);
    await fleet.clock.advanceAsync(200);
    const held = [...fleet.engines.values()].flatMap(each => each.heldOrders);
    expect(held).toHaveLength(1);
    fleet.hosts.get('host-1')!.clock.pause();
    for (const engine of fleet.engines.values()) engine.holdsOrders = false;
    fleet.giveTo('host-3');
    await fleet.clock.advanceAsync(500);
    for (const engine of fleet.engines.values()) engine.deliverHeld();
    await fleet.clock.advanceAsync(3000);
    expect(fleet.enginesOf('model-1').length).toBeLessThanOrEqual(1);
    fleet.hosts.get('host-1')!.clock.resume();
    for (let step = 0; step < 100; step++) {
      await fleet.clock.advanceAsync(200);
      expect(fleet.enginesOf('model-1').length).toBeLessThanOrEqual(1);
    }
    expect((await result).ok).toBe(true);
  },
);

// Guards against waiting for a load whose engine process has ended.
test('loads on another engine when the first is killed during the load', async () => {
  const fleet = new PlacementFleet({
    hosts: 2,
    engines: ENGINES,
    models: [MODEL],
  });
  await fleet.start();
  const result = fleet.acquire('host-2', 'model-1', 15_000);
  await fleet.clock.advanceAsync(1000);
  const [first] = fleet.enginesOf('model-1');
  fleet.engines.get(first!)!.kill();
  await fleet.clock.advanceAsync(10_000);
  const acquired = await result;
  expect(acquired.ok && acquired.value.endpoint.name).not.toBe(first);
  expect(acquired.ok).toBe(true);
});

// Guards against a second order while the engine may have accepted the first.
test('does not repeat a load when the answer to its order is lost', async () => {
  const fleet = new PlacementFleet({
    hosts: 2,
    engines: ENGINES,
    models: [MODEL],
  });
  await fleet.start();
  for (const engine of fleet.engines.values()) engine.loseAnswers = 1;
  const result = fleet.acquire('host-2', 'model-1', 10_000);
  await fleet.clock.advanceAsync(10_000);
  expect((await result).ok).toBe(true);
  expect(fleet.loadsOf('model-1')).toBe(1);
});

// Guards against requests that wait for a load that cannot finish before their
// deadlines.
test('refuses early with a retry time when the store is ten times slower', async () => {
  const fleet = new PlacementFleet({
    hosts: 2,
    engines: ENGINES,
    models: [MODEL],
  });
  await fleet.start();
  fleet.store.setSpeed(0.1);
  const startedAt = fleet.clock.monotonicMilliseconds();
  let endedAt = Infinity;
  const result = fleet.acquire('host-2', 'model-1', 20_000).finally(() => {
    endedAt = fleet.clock.monotonicMilliseconds();
  });
  await fleet.clock.advanceAsync(20_000);
  const refused = await result;
  expect(refused.ok).toBe(false);
  if (refused.ok) return;
  expect(refused.error.run).toBe('not_run');
  expect(endedAt - startedAt).toBeLessThan(8000);
  expect(refused.error.retryAfterMilliseconds).toBeGreaterThan(10_000);
  await fleet.clock.advanceAsync(refused.error.retryAfterMilliseconds! + 8000);
  const again = fleet.acquire('host-1', 'model-1', 1000);
  await fleet.clock.advanceAsync(1000);
  expect((await again).ok).toBe(true);
});

// Guards against cold starts that depend on the table.
test('loads a model while the table is down', async () => {
  const fleet = new PlacementFleet({
    hosts: 2,
    engines: ENGINES,
    models: [MODEL],
  });
  await fleet.start();
  fleet.table.down = true;
  const result = fleet.acquire('host-2', 'model-1', 6000);
  await fleet.clock.advanceAsync(6000);
  expect((await result).ok).toBe(true);
  fleet.table.down = false;
  await fleet.clock.advanceAsync(5000);
  const rows = await fleet.table.scan('placement/main/intent/');
  expect(rows.ok && rows.value).toEqual([]);
});

// Guards against starvation of one of two models that cannot be loaded at the
// same time.
test('serves both of two models that do not fit on the engine together', async () => {
  const fleet = new PlacementFleet({
    hosts: 2,
    engines: [{name: 'engine-1', memoryMegabytes: 15_000}],
    models: [MODEL, {name: 'model-2'}],
  });
  await fleet.start();
  const served = new Map<string, number>();
  const running: Promise<void>[] = [];
  for (let round = 0; round < 60; round++) {
    for (const name of ['model-1', 'model-2']) {
      running.push(
        fleet.acquire('host-2', name, 40_000).then(async result => {
          if (!result.ok) return;
          served.set(name, (served.get(name) ?? 0) + 1);
          fleet.clock.startTimer(300, () => result.value.release());
        }),
      );
    }
    await fleet.clock.advanceAsync(1000);
    const engine = fleet.engines.get('engine-1')!;
    expect(engine.usedMegabytes).toBeLessThanOrEqual(15_000);
    expect(engine.refused).toEqual([]);
  }
  await fleet.clock.advanceAsync(40_000);
  await Promise.all(running);
  expect(served.get('model-1')).toBeGreaterThan(30);
  expect(served.get('model-2')).toBeGreaterThan(30);
});

// Guards against retries without backoff of a load that always fails.
test('refuses requests for a load that always fails, and retries it rarely', async () => {
  const fleet = new PlacementFleet({
    hosts: 2,
    engines: ENGINES,
    models: [MODEL],
  });
  await fleet.start();
  for (const engine of fleet.engines.values()) engine.failing.add('model-1');
  const results: {ok: boolean}[] = [];
  for (let round = 0; round < 12; round++) {
    const result = fleet.acquire('host-2', 'model-1', 5000);
    await fleet.clock.advanceAsync(5000);
    results.push(await result);
  }
  expect(count(results)).toBe(0);
  expect(fleet.loadsOf('model-1')).toBeLessThanOrEqual(16);
});

// Guards against unloads that interrupt running requests.
test('does not unload a replica that is in use', async () => {
  const fleet = new PlacementFleet({
    hosts: 2,
    engines: [{name: 'engine-1', memoryMegabytes: 15_000}],
    models: [MODEL, {name: 'model-2'}],
  });
  await fleet.start();
  const first = fleet.acquire('host-2', 'model-1', 10_000);
  await fleet.clock.advanceAsync(5000);
  const held = await first;
  const second = fleet.acquire('host-1', 'model-2', 60_000);
  await fleet.clock.advanceAsync(20_000);
  expect(fleet.engines.get('engine-1')!.stateOf('model-1')).toBe('loaded');
  if (held.ok) held.value.release();
  await fleet.clock.advanceAsync(10_000);
  expect((await second).ok).toBe(true);
});

// Guards against new work on an endpoint that is leaving or has ended (I9).
test.each([
  [
    'its own state',
    (fleet: PlacementFleet) => {
      fleet.engines.get('engine-1')!.leaving = true;
    },
  ],
  [
    'the host list',
    (fleet: PlacementFleet) => {
      fleet.listed.push({name: 'engine-1', state: 'leaving'});
    },
  ],
  [
    'the end of its process',
    (fleet: PlacementFleet) => {
      fleet.engines.get('engine-1')!.kill();
    },
  ],
] as const)(
  'sends no new work 3 s after an engine leaves, as shown by %s',
  async (_sign, leave) => {
    const fleet = new PlacementFleet({
      hosts: 3,
      engines: [{name: 'engine-1'}],
      models: [MODEL],
    });
    await fleet.start();
    const first = fleet.acquire('host-2', 'model-1', 6000);
    await fleet.clock.advanceAsync(6000);
    expect((await first).ok).toBe(true);
    leave(fleet);
    await fleet.clock.advanceAsync(3000);
    for (const host of fleet.hosts.keys()) {
      const late = fleet.acquire(host, 'model-1', 1000);
      await fleet.clock.advanceAsync(1000);
      expect((await late).ok).toBe(false);
    }
  },
);

// Guards against a second load by a new controller that stops waiting for an
// engine that does not answer, and no longer counts its replicas.
test('counts the replicas of an engine that is silent during a take-over', async () => {
  const fleet = new PlacementFleet({
    hosts: 3,
    engines: ENGINES,
    models: [MODEL],
  });
  await fleet.start();
  const first = fleet.acquire('host-2', 'model-1', 15_000);
  await fleet.clock.advanceAsync(6000);
  expect((await first).ok).toBe(true);
  const [loadedOn] = fleet.enginesOf('model-1');
  fleet.engines.get(loadedOn!)!.silent = true;
  fleet.hosts.get('host-1')!.clock.pause();
  fleet.giveTo('host-3');
  for (let step = 0; step < 150; step++) {
    if (step % 10 === 0) void fleet.acquire('host-2', 'model-1', 5000);
    await fleet.clock.advanceAsync(200);
    expect(fleet.enginesOf('model-1')).toEqual([loadedOn]);
  }
  fleet.engines.get(loadedOn!)!.silent = false;
  await fleet.clock.advanceAsync(3000);
  const again = fleet.acquire('host-2', 'model-1', 10_000);
  await fleet.clock.advanceAsync(10_000);
  expect((await again).ok).toBe(true);
  expect(fleet.enginesOf('model-1')).toEqual([loadedOn]);
});
