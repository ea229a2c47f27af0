import {expect, test} from 'vitest';
import {success} from '../errors/mod.ts';
import {EndpointRegistry, FleetLoad} from '../fleet/mod.ts';
import {Metrics, SILENT_LOGGER} from '../observability/mod.ts';
import {type RowStore, StoreEra} from '../stores/mod.ts';
import {EndpointLimits} from '../permits/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {
  type OrderOutcome,
  PoolLease,
  PoolManager,
  type ReplicaAnnouncement,
} from './mod.ts';

/** Store in which each commit succeeds. */
function createStore(): RowStore {
  let version = 0;
  return {
    readTable: async () =>
      success({rows: [], version, era: 0, storeMilliseconds: 0}),
    followTable: async () =>
      success({rows: [], version, era: 0, storeMilliseconds: 0}),
    commit: async () =>
      success({
        kind: 'committed',
        version: ++version,
        era: 0,
        storeMilliseconds: 0,
      }),
  };
}

/** Manager of one engine, with a request that waits for a model on its disk. */
function createPool() {
  const clock = new ManualClock();
  const registry = new EndpointRegistry({
    clock,
    logger: SILENT_LOGGER,
    maximumConnections: () => 1,
    storeRegainedAt: () => Number.NEGATIVE_INFINITY,
  });
  const engine = {
    id: 'engine-1',
    rowVersion: 1,
    service: 'engines',
    address: '127.0.0.1:1',
    dataCentre: 'zone-a',
    slots: 1,
    state: 'ready' as const,
    startedAt: 1,
    leavesInMilliseconds: undefined,
    coldMilliseconds: 0,
    models: [],
    inMemory: [],
    onDisk: ['model-a'],
  };
  registry.applySnapshot(new Map([[engine.id, engine]]));
  const model = {
    name: 'model-a',
    weightsMegabytes: 1,
    adapterMegabytes: 1,
    remoteLoadMilliseconds: 1000,
    diskLoadMilliseconds: 500,
    memoryLoadMilliseconds: 100,
  };
  const service = {
    name: 'engines',
    connectionLimit: 10,
    coldStart: undefined,
    engines: {
      slots: 1,
      weightsMegabytes: 2,
      adapterCapacity: 1,
      loadsPerSecond: 4,
      models: new Map([[model.name, model]]),
    },
  };
  const waiting = {
    service: 'engines',
    target: 'model-a',
    requests: 1,
    timely: 1,
    priority: 0,
    isHeld: true,
    isServable: false,
    waitedMilliseconds: 300,
  };
  const lease = new PoolLease({
    storeEra: new StoreEra(),
    store: createStore(),
    clock,
    logger: SILENT_LOGGER,
    hostId: 'host-1',
    incarnation: 'a',
    scope: 'pool/engines',
    handoverDelayMilliseconds: 1000,
    hasHeardFromHolder: () => false,
    random: () => 0,
  });
  const answers: ((outcome: OrderOutcome) => void)[] = [];
  const announcements: ReplicaAnnouncement[] = [];
  const manager = new PoolManager({
    service: () => service,
    hostId: 'host-1',
    incarnation: 'host-1-run-1',
    limits: new EndpointLimits({
      clock,
      logger: SILENT_LOGGER,
      announce: () => undefined,
    }),
    lease,
    registry,
    load: new FleetLoad({
      clock,
      localLoad: () => ({inFlight: [], waiting: [waiting], arrivals: []}),
    }),
    control: {
      order: () => new Promise(resolve => answers.push(resolve)),
      report: async () =>
        success({
          models: [],
          isBusy: false,
          ordersAccepted: 0,
          pendingAdapters: [],
        }),
    },
    clock,
    logger: SILENT_LOGGER,
    metrics: new Metrics(),
    announce: announcement => announcements.push(announcement),
  });
  return {clock, lease, manager, answers, announcements};
}

// Guards against a pool without a manager: a stopped manager still announced its
// pool, and the other hosts put off their attempts to acquire the lease.
test.each<{outcome: OrderOutcome}>([
  {outcome: 'accepted'},
  {outcome: 'conflict'},
  {outcome: 'unknown'},
])(
  'a stopped manager is silent when its last order ends as $outcome',
  async ({outcome}) => {
    const {clock, lease, manager, answers, announcements} = createPool();
    void lease.run();
    void manager.run();
    await clock.advanceAsync(2000);
    expect(answers.length).toBe(1);
    manager.stop();
    await lease.release();
    const announced = announcements.length;
    expect(announced).toBeGreaterThan(0);
    await clock.advanceAsync(500);
    answers[0]?.(outcome);
    await clock.advanceAsync(10_000);
    expect(announcements.length).toBe(announced);
    expect(manager.currentAnnouncement()).toBeUndefined();
    expect(answers.length).toBe(1);
  },
);
