import {expect, test} from 'vitest';
import {
  AdmissionFleet,
  type CallerRequest,
} from '../testing/admission_fleet.ts';
import {ManualClock} from '../testing/manual_clock.ts';

const INTERACTIVE: CallerRequest = {
  kind: 'interactive',
  host: 5,
  team: 'team-a',
  priority: 1,
  objectiveMilliseconds: 500,
  timeoutMilliseconds: 6000,
  runMilliseconds: 2000,
};

const DEFERRED: CallerRequest = {
  kind: 'deferred',
  host: 5,
  team: 'team-b',
  priority: 5,
  objectiveMilliseconds: 3000,
  timeoutMilliseconds: 17_000,
  runMilliseconds: 2000,
};

// Guards against a burst at one of many hosts that is refused although engines are idle,
// since the equal share of the host is tiny.
test.each([
  {caller: INTERACTIVE, engines: 1},
  {caller: INTERACTIVE, engines: 4},
  {caller: DEFERRED, engines: 1},
])(
  'a burst at one of 74 hosts is on time: $caller.kind, idle engines: $engines',
  async ({caller, engines}) => {
    const clock = new ManualClock();
    const fleet = new AdmissionFleet({
      clock,
      hosts: 74,
      engines,
      slots: 12,
      admission: 'ordered',
    });
    for (let count = 0; count < 6 + 2 * engines; count++)
      clock.startTimer(3000 + 2 * count, () => void fleet.send(caller));
    await clock.advanceAsync(15_000);
    const refused = fleet
      .of(caller.kind)
      .filter(({refusedAt}) => refusedAt !== undefined);
    expect(refused).toEqual([]);
    expect(fleet.onTime(caller.kind)).toBe(1);
  },
);
// Guards against a Retry-After that is not a number, and against demand that is counted
// for ever, when no engine takes requests at the moment at which a request expires.
test('a request that expires while all engines are closed can be retried', async () => {
  const clock = new ManualClock();
  const fleet = new AdmissionFleet({
    clock,
    hosts: 1,
    engines: 1,
    slots: 12,
    admission: 'ordered',
  });
  for (let count = 0; count < 15; count++)
    void fleet.send({...INTERACTIVE, runMilliseconds: 20_000});
  // Expires 30 ms after a report, at 0.92 of its time-out.
  void fleet.send({...DEFERRED, timeoutMilliseconds: 5030 / 0.92});
  await clock.advanceAsync(5010);
  const [host] = fleet.hosts;
  for (const {condition} of host?.registry.all() ?? [])
    condition.recordClosed(clock.monotonicMilliseconds() + 1000);
  await clock.advanceAsync(100);
  const [expired] = fleet.of('deferred');
  expect(expired?.refusedAt).toBeDefined();
  expect(expired?.retryAfterMilliseconds).toBeGreaterThan(0);
  await clock.advanceAsync(10_000);
  expect(host?.router.waiting().filter(({isHeld}) => !isHeld)).toEqual([]);
});

// Guards against a report that takes a second: the share is found from the connections
// to all hosts, and was asked for by each waiting request and engine.
test('the share of the slots is not computed for each waiting request', async () => {
  const clock = new ManualClock();
  const fleet = new AdmissionFleet({
    clock,
    hosts: 1,
    engines: 10,
    slots: 1,
    admission: 'ordered',
  });
  for (let count = 0; count < 30; count++) void fleet.send(DEFERRED);
  await clock.advanceAsync(100);
  const [host] = fleet.hosts;
  if (host === undefined) throw new Error('No host');
  expect(host.router.waiting()[0]?.requests).toBeGreaterThan(10);
  let computed = 0;
  Object.defineProperty(host, 'isCutOff', {
    get: () => {
      computed++;
      return false;
    },
  });
  host.router.countsUpdated();
  expect(computed).toBeGreaterThan(0);
  expect(computed).toBeLessThan(5);
});

// Guards against a request that waits for full engines until it expires, although an
// engine with a limited rate that had no turn for it at first has one again.
test('a request returns to an engine with a limited rate while it waits', async () => {
  const clock = new ManualClock();
  const fleet = new AdmissionFleet({
    clock,
    hosts: 1,
    engines: 2,
    slots: 12,
    admission: 'ordered',
  });
  const [host] = fleet.hosts;
  const limited = [...(host?.registry.all() ?? [])].at(-1);
  if (host === undefined || limited === undefined) throw new Error('No host');
  host.router.noteResponse(limited, {
    notice: {
      isLeaving: false,
      coldMilliseconds: undefined,
      closedMilliseconds: undefined,
      requestsPerSecond: 0.2,
    },
    sentAt: clock.monotonicMilliseconds(),
    isSuccess: true,
  });
  for (let count = 0; count < 15; count++)
    void fleet.send({...INTERACTIVE, runMilliseconds: 20_000});
  await clock.advanceAsync(100);
  void fleet.send(DEFERRED);
  await clock.advanceAsync(20_000);
  const [waited] = fleet.of('deferred');
  expect(waited?.startedAt).toBeDefined();
});

// Guards against single requests with slack that are late at a nearly idle engine, since
// many hosts each have a tiny share of its slots.
test.each([{hosts: 74}, {hosts: 200}])(
  'a rarely used engine serves deferred requests in time: $hosts hosts',
  async ({hosts}) => {
    const clock = new ManualClock();
    const fleet = new AdmissionFleet({
      clock,
      hosts,
      engines: 1,
      slots: 12,
      admission: 'ordered',
    });
    for (let count = 0; count < 40; count++) {
      clock.startTimer(1000 + 700 * count, () => {
        void fleet.send({...DEFERRED, host: 31 * count});
      });
    }
    await clock.advanceAsync(45_000);
    expect(fleet.onTime('deferred')).toBe(1);
  },
);
