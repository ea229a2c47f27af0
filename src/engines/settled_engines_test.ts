import {describe, expect, test} from 'vitest';
import {success} from '../errors/mod.ts';
import {SILENT_LOGGER} from '../observability/mod.ts';
import {
  type CommitOutcome,
  type Row,
  type RowStore,
  StoreEra,
} from '../stores/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {StoreReference} from './_store_reference.ts';
import {PoolLease, ReplicaMap} from './mod.ts';

const HANDOVER_DELAY_MILLISECONDS = 3000;
const VALIDITY_MILLISECONDS = 1400;
/** Time for a last order to arrive, and for the report of the engine to show it. */
const SETTLING_MILLISECONDS = 1500;
const STEP_MILLISECONDS = 50;
/** Time of the loss, long after the first holder has begun to act. */
const LOST_AT_MILLISECONDS = 10_000;

/** Store with one row, whose responses state its own clock. */
function createStore(clock: ManualClock): RowStore {
  let row: Row | undefined;
  const now = () => clock.monotonicMilliseconds() + 500_000;
  const read = async () =>
    success({
      rows: row === undefined ? [] : [row],
      version: row?.version ?? 0,
      era: 0,
      storeMilliseconds: now(),
    });
  return {
    readTable: read,
    followTable: read,
    commit: async ([change]) => {
      const version = row?.version ?? 0;
      if (change === undefined || change.expectedVersion !== version) {
        const rows = row === undefined ? [] : [row];
        return success<CommitOutcome>({kind: 'conflict', rows, era: 0});
      }
      row = {key: change.key, value: change.value, version: version + 1};
      return success<CommitOutcome>({
        kind: 'committed',
        version: version + 1,
        era: 0,
        storeMilliseconds: now(),
      });
    },
  };
}

/** Two hosts of which the first one holds the lease until it is lost without a word. */
async function loseHolder(ordersBySettledEngine: boolean) {
  const clock = new ManualClock();
  const store = createStore(clock);
  let isLost = false;
  const lost: RowStore = {
    ...store,
    commit: changes =>
      isLost ? new Promise(() => undefined) : store.commit(changes),
  };
  const start = (hostId: string, hostStore: RowStore, heard: () => boolean) => {
    const lease = new PoolLease({
      storeEra: new StoreEra(),
      store: hostStore,
      clock,
      logger: SILENT_LOGGER,
      hostId,
      incarnation: `${hostId}-run-1`,
      scope: 'pool/engines',
      handoverDelayMilliseconds: HANDOVER_DELAY_MILLISECONDS,
      ordersBySettledEngine,
      hasHeardFromHolder: heard,
      random: () => 0,
    });
    void lease.run();
    return lease;
  };
  const first = start('host-1', lost, () => false);
  await clock.advanceAsync(LOST_AT_MILLISECONDS);
  let renewedAt = clock.monotonicMilliseconds();
  if (first.renewal !== undefined) renewedAt -= first.renewal.sinceMilliseconds;
  isLost = true;
  // The time after which a host that hears nothing of the manager looks at its lease.
  const heardUntil = clock.monotonicMilliseconds() + 1200;
  const second = start(
    'host-2',
    store,
    () => clock.monotonicMilliseconds() < heardUntil,
  );
  return {clock, second, renewedAt};
}

/** Time at which the second holder may first order an engine. */
async function firstOrderAt(
  {clock, second}: Awaited<ReturnType<typeof loseHolder>>,
  formerOrderAt: number | undefined,
): Promise<number> {
  for (let elapsed = 0; elapsed < 20_000; elapsed += STEP_MILLISECONDS) {
    if (second.mayOrder(formerOrderAt)) return clock.monotonicMilliseconds();
    await clock.advanceAsync(STEP_MILLISECONDS);
  }
  return Number.POSITIVE_INFINITY;
}

describe('orders after the loss of a manager', () => {
  // Guards against engines that idle for the whole handover delay although nobody has
  // ordered them, so that no model was loaded for 6 s.
  test('reach engines without a recent order once the former holder has stopped', async () => {
    const loss = await loseHolder(true);
    const at = await firstOrderAt(loss, Number.NEGATIVE_INFINITY);
    expect(at).toBeGreaterThanOrEqual(
      loss.renewedAt + VALIDITY_MILLISECONDS + SETTLING_MILLISECONDS,
    );
    const pool = await firstOrderAt(
      await loseHolder(false),
      Number.NEGATIVE_INFINITY,
    );
    expect(at).toBeLessThanOrEqual(
      pool - (HANDOVER_DELAY_MILLISECONDS - SETTLING_MILLISECONDS),
    );
  });

  // Guards against orders of two managers to one engine within the handover delay.
  test.each([
    {name: 'just before the loss', sinceLoss: 0},
    {name: 'a second before the loss', sinceLoss: -1000},
  ])('reach an engine ordered $name after the delay', async ({sinceLoss}) => {
    const loss = await loseHolder(true);
    const formerOrderAt = LOST_AT_MILLISECONDS + sinceLoss;
    const at = await firstOrderAt(loss, formerOrderAt);
    expect(at).toBeGreaterThanOrEqual(
      formerOrderAt + HANDOVER_DELAY_MILLISECONDS,
    );
  });

  // Guards against orders to an engine whose former orders nobody knows.
  test('wait for the delay of the pool where former orders are unknown', async () => {
    const loss = await loseHolder(true);
    const at = await firstOrderAt(loss, undefined);
    expect(at).toBeGreaterThanOrEqual(
      loss.renewedAt + VALIDITY_MILLISECONDS + HANDOVER_DELAY_MILLISECONDS,
    );
  });
});

// Guards against a takeover from a holder that was suspended: its monotonic clock did
// not count the suspension, so it stated a renewal that was too old.
test('a suspended holder states no time of the store that is too early', () => {
  let suspended = 0;
  const clock = new ManualClock();
  const wallClock = {
    monotonicMilliseconds: () => clock.monotonicMilliseconds(),
    now: () => new Date(clock.now().getTime() + suspended),
    startTimer: clock.startTimer.bind(clock),
  };
  const reference = new StoreReference(wallClock);
  reference.record(7000, clock.monotonicMilliseconds());
  suspended = 4000;
  expect(reference.latestStoreTime()).toBeGreaterThanOrEqual(11_000);
});

describe('ReplicaMap.announcedOrders', () => {
  const ENGINE = {endpoint: 'engine-1', startedAt: 1, targets: []};

  // Guards against an engine that counts as without a recent order because only the
  // announcement of its other state was repeated, or that was restarted.
  test.each([
    {name: 'the same number', engine: {...ENGINE, ordersAccepted: 4}, since: 0},
    {name: 'no number', engine: ENGINE, since: 0},
    {
      name: 'a further order',
      engine: {...ENGINE, ordersAccepted: 5},
      since: 1000,
    },
    {
      name: 'another process',
      engine: {...ENGINE, startedAt: 2},
      since: undefined,
    },
  ])('after an announcement of $name', ({engine, since}) => {
    const clock = new ManualClock();
    const map = new ReplicaMap({
      registry: {usable: () => []},
      incarnation: 'host-2-run-1',
      clock,
    });
    const startedAt = clock.monotonicMilliseconds();
    const announce = (
      sequence: number,
      entry: {endpoint: string; startedAt: number; ordersAccepted?: number},
    ) =>
      map.receive({
        service: 'engines',
        epoch: 1,
        announcer: 'host-1-run-1',
        sequence,
        ...(sequence === 1 ? {} : {afterSequence: sequence - 1}),
        engines: [{...entry, targets: []}],
        expected: [],
        unexpected: [],
        remoteOnly: {added: [], removed: [], readyInMilliseconds: 0},
      });
    announce(1, {...ENGINE, ordersAccepted: 4});
    clock.advance(1000);
    announce(2, engine);
    const orders = map.announcedOrders('engine-1', engine.startedAt);
    expect(orders?.since).toBe(
      since === undefined ? undefined : startedAt + since,
    );
  });
});
