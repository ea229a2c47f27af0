import {describe, expect, test} from 'vitest';
import {decodePeerFrame, encodePeerFrame} from '../peers/mod.ts';
import {createManagedPool} from '../testing/managed_pool.ts';

const HELD = (name: string) => ({name, version: 1, adapters: []});
const EVACUATED = new Set(['zone-a']);
const NONE = new Set<string>();

/** Starts a manager and lets it hold its lease for a while. */
async function start(
  ...[options]: Parameters<typeof createManagedPool>
): Promise<ReturnType<typeof createManagedPool>> {
  const pool = createManagedPool(options);
  void pool.lease.run();
  void pool.manager.run();
  await pool.clock.advanceAsync(2000);
  return pool;
}

const TWO_ENGINES = [
  {id: 'engine-a', models: [HELD('model-a')]},
  {id: 'engine-b', dataCentre: 'zone-b'},
];

describe('The manager of a pool', () => {
  // Guards against models without a replica during an evacuation, and against orders
  // to an evacuated engine, and on its return ones that rely on an old state.
  test('loads what only evacuated engines hold elsewhere, and asks them on their return', async () => {
    const {clock, registry, manager, calls, orders} = await start({
      engines: TWO_ENGINES,
    });
    expect(orders()).toEqual([]);
    calls.length = 0;
    registry.setEvacuated(EVACUATED);
    manager.notify();
    await clock.advanceAsync(1000);
    expect(orders()).toMatchObject([
      {engineId: 'engine-b', order: {operation: 'load', model: 'model-a'}},
    ]);
    expect(calls.filter(({engineId}) => engineId === 'engine-a')).toEqual([]);
    orders()[0]?.answer('rejected');
    calls.length = 0;
    registry.setEvacuated(NONE);
    manager.notify();
    await clock.advanceAsync(1000);
    const [first] = calls.filter(({engineId}) => engineId === 'engine-a');
    expect(first).toMatchObject({order: undefined});
    manager.stop();
  });

  // Guards against orders that were decided before an evacuation and sent after it.
  test.each([
    {name: 'and before the next round', evacuated: [EVACUATED]},
    {name: 'and has returned', evacuated: [EVACUATED, NONE]},
  ])(
    'sends no queued order to an engine that is evacuated $name',
    async ({evacuated}) => {
      const pool = await start({
        engines: [{models: [HELD('model-b'), HELD('model-c')]}],
        models: ['model-a', 'model-b', 'model-c'],
      });
      const {clock, registry, manager, orders} = pool;
      const [eviction] = orders();
      expect(eviction).toMatchObject({order: {operation: 'unload'}});
      for (const dataCentres of evacuated) {
        registry.setEvacuated(dataCentres);
        if (evacuated.length > 1) await clock.advanceAsync(400);
      }
      eviction?.answer('done');
      await clock.advanceAsync(0);
      const loads = orders().filter(({order}) => order?.operation === 'load');
      expect(loads).toEqual([]);
      manager.stop();
    },
  );

  // Guards against more loads at once than the weight store serves: those of evacuated
  // engines go on.
  test.each([{isAnsweredLate: false}, {isAnsweredLate: true}])(
    'counts the loads of evacuated engines until they end, orders answered late: $isAnsweredLate',
    async ({isAnsweredLate}) => {
      const zones = ['zone-a', 'zone-a', 'zone-a', 'zone-a', 'zone-b'];
      const models = zones.map((_zone, index) => `model-${index}`);
      const engines = zones.map((dataCentre, index) => ({
        ...{id: `engine-${index}`, dataCentre, onDisk: []},
      }));
      const pool = createManagedPool({engines, models});
      const {clock, registry, manager, orders, waiting} = pool;
      const [first] = waiting.splice(0);
      waiting.push(...models.map(target => ({...first!, target})));
      // The engine outside gets no load at first.
      registry.setEvacuated(new Set(['zone-b']));
      void pool.lease.run();
      void manager.run();
      await clock.advanceAsync(1300);
      const answer = () => orders().forEach(order => order.answer('accepted'));
      if (!isAnsweredLate) answer();
      expect(orders().length).toBe(4);
      registry.setEvacuated(EVACUATED);
      await clock.advanceAsync(300);
      if (isAnsweredLate) answer();
      await clock.advanceAsync(200);
      expect(orders().length).toBe(4);
      await clock.advanceAsync(1000);
      expect(orders().slice(4)).toMatchObject([{engineId: 'engine-4'}]);
      manager.stop();
    },
  );

  // Guards against a manager whose announcements the other hosts reject and which they
  // take for stopped: without any engine, it expected loads after an infinite time.
  test.each([
    {zones: ['zone-a', 'zone-b'], name: 'all engines'},
    {zones: ['zone-a'], name: 'the engines with all loads'},
  ])('announces its pool when $name are evacuated', async ({zones}) => {
    const models = Array.from(
      {length: 6},
      (_unused, index) => `model-${index}`,
    );
    const engines = models.map(id => ({id, onDisk: []}));
    const outside = {id: 'outside', dataCentre: 'zone-b', onDisk: []};
    const pool = createManagedPool({engines: [...engines, outside], models});
    const {announcements, clock, registry, manager, orders, waiting} = pool;
    const [first] = waiting.splice(0);
    waiting.push(...models.map(target => ({...first!, target})));
    void pool.lease.run();
    void manager.run();
    await clock.advanceAsync(1300);
    for (const order of orders()) order.answer('accepted');
    announcements.length = 0;
    registry.setEvacuated(new Set(zones));
    await clock.advanceAsync(2000);
    expect(announcements.length).toBeGreaterThan(0);
    for (const announcement of announcements) {
      const frame = {kind: 'replica_state' as const, hops: 0, ...announcement};
      expect(decodePeerFrame(encodePeerFrame(frame))).toMatchObject({ok: true});
    }
    manager.stop();
  });
});
