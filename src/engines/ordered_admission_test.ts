import {expect, test} from 'vitest';
import {
  AdmissionFleet,
  type AdmissionFleetOptions,
  type CallerOutcome,
  type CallerRequest,
} from '../testing/admission_fleet.ts';
import {ManualClock} from '../testing/manual_clock.ts';

const INTERACTIVE: CallerRequest = {
  kind: 'interactive',
  host: 0,
  team: 'team-a',
  priority: 1,
  objectiveMilliseconds: 500,
  timeoutMilliseconds: 6000,
  runMilliseconds: 2000,
};

const DEFERRED: CallerRequest = {
  kind: 'deferred',
  host: 0,
  team: 'team-b',
  priority: 5,
  objectiveMilliseconds: 3000,
  timeoutMilliseconds: 17_000,
  runMilliseconds: 2000,
};

/** Slots of an engine; runs of 2 s free one every 167 ms. */
const SLOTS = 12;

interface Load {
  readonly caller: CallerRequest;
  readonly count: number;
  readonly fromMilliseconds: number;
  readonly everyMilliseconds: number;
}

function start(options: Partial<AdmissionFleetOptions> = {}) {
  const clock = new ManualClock();
  const fleet = new AdmissionFleet({
    clock,
    hosts: 8,
    engines: 4,
    slots: SLOTS,
    admission: 'ordered',
    ...options,
  });
  return {clock, fleet};
}

/** Sends requests of different lengths, 0.7 to 1.3 of the usual one, to all hosts. */
function send(clock: ManualClock, fleet: AdmissionFleet, load: Load): void {
  const {caller, count, fromMilliseconds, everyMilliseconds} = load;
  for (let index = 0; index < count; index++) {
    const length = 0.7 + 0.6 * ((index * 0.618) % 1);
    clock.startTimer(fromMilliseconds + index * everyMilliseconds, () => {
      void fleet.send({
        ...caller,
        host: caller.host + index * 31,
        runMilliseconds: caller.runMilliseconds * length,
      });
    });
  }
}

const refusedOf = (outcomes: readonly CallerOutcome[]) =>
  outcomes.filter(({refusedAt}) => refusedAt !== undefined);

const meanWait = (outcomes: readonly CallerOutcome[]) => {
  const waits = outcomes.flatMap(({startedAt, arrivedAt}) =>
    startedAt === undefined ? [] : [startedAt - arrivedAt],
  );
  return waits.reduce((sum, wait) => sum + wait, 0) / waits.length;
};

// Guards against engines that are filled by a burst of work with slack, so that they
// reject it and interactive requests beside it are late.
test.each([
  {hosts: 8, engines: 4},
  {hosts: 74, engines: 4},
  {hosts: 30, engines: 8},
])(
  'a burst of deferred requests waits beside steady interactive ones: $hosts hosts, $engines engines',
  async ({hosts, engines}) => {
    const {clock, fleet} = start({hosts, engines});
    send(clock, fleet, {
      caller: INTERACTIVE,
      count: 40 * engines,
      fromMilliseconds: 0,
      everyMilliseconds: 500 / engines,
    });
    send(clock, fleet, {
      caller: DEFERRED,
      count: 45 * engines,
      fromMilliseconds: 3000,
      everyMilliseconds: 2,
    });
    await clock.advanceAsync(30_000);
    expect(fleet.onTime('interactive')).toBeGreaterThan(0.95);
    expect(fleet.served('deferred')).toBeGreaterThan(0.95);
    expect(fleet.rejections).toBe(0);
  },
);

// Guards against a rush of hosts that see the same free slots in delayed counts.
test.each([
  {hosts: 8, engines: 4},
  {hosts: 74, engines: 2},
])(
  'hosts with delayed counts do not overfill engines: $hosts hosts, $engines engines',
  async ({hosts, engines}) => {
    const {clock, fleet} = start({hosts, engines});
    send(clock, fleet, {
      caller: DEFERRED,
      count: 45 * engines,
      fromMilliseconds: 1000,
      everyMilliseconds: 1,
    });
    await clock.advanceAsync(25_000);
    for (const {longestQueue} of fleet.engines)
      expect(longestQueue).toBeLessThanOrEqual(SLOTS);
    expect(fleet.rejections).toBe(0);
    expect(fleet.served('deferred')).toBeGreaterThan(0.95);
  },
);

// Guards against an order that depends on the host: the less urgent requests have a
// host of their own and wait there alone.
test('the more urgent request goes first although it waits on another host', async () => {
  const {clock, fleet} = start();
  for (const [index, objectiveMilliseconds] of [8000, 3000].entries()) {
    for (let count = 0; count < 50; count++) {
      clock.startTimer(1000 + count, () => {
        void fleet.send({
          ...DEFERRED,
          kind: `objective ${objectiveMilliseconds}`,
          objectiveMilliseconds,
          host: 2 * count + index,
          runMilliseconds: 1400 + 24 * count,
        });
      });
    }
  }
  await clock.advanceAsync(25_000);
  expect(fleet.onTime('objective 3000')).toBeGreaterThan(0.95);
  expect(fleet.onTime('objective 8000')).toBe(1);
  const first = meanWait(fleet.of('objective 3000'));
  expect(first).toBeLessThan(0.8 * meanWait(fleet.of('objective 8000')));
});

// Guards against a burst of one team that fills the queue of a host.
test('small teams are on time beside the burst of another team', async () => {
  const {clock, fleet} = start({hosts: 1, engines: 1});
  send(clock, fleet, {
    caller: {...DEFERRED, kind: 'burst', team: 'team-c'},
    count: 70,
    fromMilliseconds: 0,
    everyMilliseconds: 1,
  });
  for (const team of ['team-a', 'team-b']) {
    send(clock, fleet, {
      caller: {...DEFERRED, kind: 'small', team},
      count: 10,
      fromMilliseconds: 300,
      everyMilliseconds: 1000,
    });
  }
  await clock.advanceAsync(30_000);
  expect(fleet.onTime('small')).toBeGreaterThan(0.9);
  expect(refusedOf(fleet.of('small'))).toEqual([]);
});

// Guards against large requests that never get a slot, since small ones take each one.
test('large requests are served beside a steady load of small ones', async () => {
  const {clock, fleet} = start({engines: 2});
  send(clock, fleet, {
    caller: {...DEFERRED, kind: 'small', runMilliseconds: 1400},
    count: 300,
    fromMilliseconds: 0,
    everyMilliseconds: 80,
  });
  send(clock, fleet, {
    caller: {...DEFERRED, kind: 'large', runMilliseconds: 5000},
    count: 12,
    fromMilliseconds: 1000,
    everyMilliseconds: 2000,
  });
  await clock.advanceAsync(45_000);
  expect(fleet.served('large')).toBeGreaterThan(0.9);
});

// Guards against a rarely used model whose engines are full of another one's requests.
test('a rarely used model gets its turn beside a busy one on the same engines', async () => {
  const {clock, fleet} = start({engines: 2, models: ['model-a', 'model-b']});
  send(clock, fleet, {
    caller: {...DEFERRED, kind: 'busy'},
    count: 280,
    fromMilliseconds: 0,
    everyMilliseconds: 70,
  });
  send(clock, fleet, {
    caller: {...DEFERRED, kind: 'rare', model: 'model-b'},
    count: 6,
    fromMilliseconds: 4000,
    everyMilliseconds: 3000,
  });
  await clock.advanceAsync(45_000);
  expect(fleet.served('rare')).toBe(1);
});

// Guards against late requests that take the slots of those that can be on time.
test('late requests yield to those that can be on time, and are still served', async () => {
  const {clock, fleet} = start({engines: 2});
  send(clock, fleet, {
    caller: {...DEFERRED, kind: 'late', objectiveMilliseconds: 800},
    count: 70,
    fromMilliseconds: 0,
    everyMilliseconds: 1,
  });
  send(clock, fleet, {
    caller: {...DEFERRED, kind: 'on time', objectiveMilliseconds: 2500},
    count: 70,
    fromMilliseconds: 3000,
    everyMilliseconds: 125,
  });
  await clock.advanceAsync(40_000);
  expect(fleet.onTime('on time')).toBeGreaterThan(0.95);
  expect(fleet.served('late')).toBeGreaterThan(0.9);
});

// Guards against a host that takes all slots for free because it hears of nobody.
test('a host without its peers uses its equal share of the slots', async () => {
  const {clock, fleet} = start();
  const [cutOff] = fleet.hosts;
  if (cutOff === undefined) throw new Error('No host');
  cutOff.isCutOff = true;
  for (let count = 0; count < 40; count++) {
    clock.startTimer(3000 + count, () => void fleet.send(DEFERRED));
  }
  await clock.advanceAsync(4400);
  const own = [...cutOff.registry.all()].map(({inFlight}) => inFlight);
  const sent = own.reduce((sum, inFlight) => sum + inFlight, 0);
  // An eighth of the slots of four engines, rounded up at each of them.
  expect(sent).toBeGreaterThanOrEqual((4 * SLOTS) / 8 - 1);
  expect(sent).toBeLessThanOrEqual(4 * Math.ceil(SLOTS / 8));
});

/** One host whose only engine is full of interactive requests. */
async function startFull(): Promise<ReturnType<typeof start>> {
  const full = start({hosts: 1, engines: 1});
  send(full.clock, full.fleet, {
    caller: INTERACTIVE,
    count: SLOTS + 2,
    fromMilliseconds: 0,
    everyMilliseconds: 1,
  });
  await full.clock.advanceAsync(100);
  return full;
}

// Guards against a request that is kept beyond its time, until the next report.
test('a request is refused when its time ends while it waits', async () => {
  const {clock, fleet} = start({hosts: 1, engines: 1});
  for (let count = 0; count < SLOTS + 3; count++)
    void fleet.send({...INTERACTIVE, runMilliseconds: 20_000});
  void fleet.send({...DEFERRED, timeoutMilliseconds: 5030});
  await clock.advanceAsync(6000);
  const [waited] = fleet.of('deferred');
  expect(waited?.code).toBe('overloaded');
  // 0.92 of the caller's time-out, which is between two reports.
  expect(waited?.refusedAt).toBeCloseTo(0.92 * 5030, -1);
});

// Guards against a queue that grows with each more urgent request.
test('the queue of a host is bounded by what engines take in its time', async () => {
  const {clock, fleet} = start({hosts: 1, engines: 1});
  send(clock, fleet, {
    caller: DEFERRED,
    count: 130,
    fromMilliseconds: 0,
    everyMilliseconds: 0.1,
  });
  send(clock, fleet, {
    caller: {...DEFERRED, kind: 'urgent', objectiveMilliseconds: 1900},
    count: 9,
    fromMilliseconds: 50,
    everyMilliseconds: 0.1,
  });
  await clock.advanceAsync(100);
  // 6 places a second for 15.6 s, and its root.
  const [waiting] = fleet.hosts[0]?.router.waiting() ?? [];
  expect(waiting?.requests).toBeLessThanOrEqual(105);
  expect(refusedOf(fleet.of('urgent'))).toEqual([]);
});

// Guards against a request that is sent for nobody.
test('a request is forgotten when its caller leaves while it waits', async () => {
  const {clock, fleet} = await startFull();
  const caller = new AbortController();
  const sent = fleet.send(DEFERRED, caller.signal);
  await clock.advanceAsync(100);
  expect(fleet.hosts[0]?.router.waiting()).toMatchObject([
    {requests: 1, isHeld: true, isServable: true},
  ]);
  caller.abort();
  await sent;
  expect(fleet.hosts[0]?.router.waiting()).toEqual([]);
  await clock.advanceAsync(20_000);
  expect(fleet.of('deferred')[0]?.startedAt).toBeUndefined();
});

// Guards against requests that are kept by a host that stops, until they are cut.
test('a host that stops gives waiting requests back before it sends no more', async () => {
  const {clock, fleet} = await startFull();
  for (let count = 0; count < 20; count++) void fleet.send(DEFERRED);
  await clock.advanceAsync(100);
  const [host] = fleet.hosts;
  const stopsAt = clock.monotonicMilliseconds() + 1500;
  host?.window.close({closesAt: stopsAt, runsEndAt: stopsAt + 3000});
  host?.router.recheckWaiting();
  await clock.advanceAsync(1600);
  expect(host?.router.waiting()).toEqual([]);
  const refused = refusedOf(fleet.of('deferred'));
  expect(refused.length).toBeGreaterThan(0);
  for (const {code, refusedAt = Infinity} of refused) {
    expect(code).toBe('host_draining');
    expect(refusedAt).toBeLessThanOrEqual(stopsAt);
  }
  // What cannot get a turn before the end is not kept until then.
  expect(refused[0]?.refusedAt).toBeLessThan(stopsAt - 1000);
});

// Guards against callers that wait for nothing, and that all return at the same time.
test('overload without end is refused at once, with a place for each return', async () => {
  const {clock, fleet} = start({hosts: 1, engines: 1});
  send(clock, fleet, {
    caller: DEFERRED,
    count: 900,
    fromMilliseconds: 0,
    everyMilliseconds: 33,
  });
  await clock.advanceAsync(40_000);
  const refused = refusedOf(fleet.of('deferred'));
  const atOnce = refused.filter(
    ({refusedAt = Infinity, arrivedAt}) => refusedAt - arrivedAt < 100,
  );
  expect(refused.length).toBeGreaterThan(600);
  expect(atOnce.length / refused.length).toBeGreaterThan(0.9);
  // The capacity is 6 runs a second.
  expect(fleet.served('deferred') * 900).toBeGreaterThan(6 * 30 * 0.85);
  const returns = atOnce.map(
    ({refusedAt = 0, retryAfterMilliseconds = 0}) =>
      refusedAt + retryAfterMilliseconds,
  );
  expect(new Set(returns).size).toBe(returns.length);
  for (const {retryAfterMilliseconds = Infinity} of atOnce)
    expect(retryAfterMilliseconds).toBeLessThanOrEqual(17_000 / 3);
});

// Guards against more callers that are told the same time than there is room for then.
test('a burst of refused callers returns at the rate of free places', async () => {
  const {clock, fleet} = start({hosts: 1, engines: 1});
  send(clock, fleet, {
    caller: DEFERRED,
    count: 200,
    fromMilliseconds: 0,
    everyMilliseconds: 0.1,
  });
  await clock.advanceAsync(100);
  const returns = refusedOf(fleet.of('deferred')).map(
    ({retryAfterMilliseconds = 0}) => retryAfterMilliseconds,
  );
  expect(new Set(returns).size).toBe(returns.length);
  // Six places a second, until the end of what is of use to the callers.
  const spaced = returns.slice(0, 20);
  for (const [index, at] of spaced.entries()) {
    const next = spaced[index + 6];
    if (next !== undefined) expect(next - at).toBeGreaterThan(950);
  }
  // There are more callers than places: the others are spread over the same time.
  const others = returns.slice(30).sort((left, right) => left - right);
  expect(others.length).toBeGreaterThan(20);
  for (const [index, at] of others.entries()) {
    const next = others[index + 10];
    if (next !== undefined) expect(next - at).toBeGreaterThan(200);
  }
});

// Guards against a default that changes what deployments without the setting get.
test('without the order, all requests are sent at once', async () => {
  const admission = 'immediate';
  const {clock, fleet} = start({hosts: 1, engines: 1, admission});
  for (let count = 0; count < 30; count++) void fleet.send(DEFERRED);
  await clock.advanceAsync(1);
  expect(fleet.engines[0]?.longestQueue).toBe(30 - SLOTS);
});
