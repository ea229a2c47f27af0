import type {EndpointRecord} from '../deployment/mod.ts';
import {
  type EngineOrder,
  type OrderOutcome,
  PoolLease,
  PoolManager,
  type ReplicaAnnouncement,
} from '../engines/mod.ts';
import {success} from '../errors/mod.ts';
import {EndpointRegistry, FleetLoad, type WaitingCount} from '../fleet/mod.ts';
import {Metrics, SILENT_LOGGER} from '../observability/mod.ts';
import {EndpointLimits} from '../permits/mod.ts';
import {type RowStore, StoreEra} from '../stores/mod.ts';
import {ManualClock} from './manual_clock.ts';

/** Options of {@link createManagedPool}. */
export interface ManagedPoolOptions {
  /** Fields of each engine's row in which it differs from {@link engineRecord}. */
  engines: readonly Partial<EndpointRecord>[];
  /** Models of the configuration; each takes half of an engine's memory. */
  models?: readonly string[];
  /** Orders that the engines have accepted, as they report. @default 0 */
  ordersAccepted?: () => number;
}

/** A call to an engine. */
export interface EngineCall {
  readonly engineId: string;
  /** Undefined for a request for a report. */
  readonly order: EngineOrder | undefined;
  /** Ends an order. */
  readonly answer: (outcome: OrderOutcome) => void;
}

/** Row of an engine with one slot and a copy of `model-a`. */
export function engineRecord(more: Partial<EndpointRecord>): EndpointRecord {
  return {
    id: 'engine-1',
    rowVersion: 1,
    softwareVersion: 'v1',
    service: 'engines',
    address: '127.0.0.1:1',
    dataCentre: 'zone-a',
    slots: 1,
    state: 'ready',
    startedAt: 1,
    leavesInMilliseconds: undefined,
    coldMilliseconds: 0,
    models: [],
    inMemory: [],
    onDisk: ['model-a'],
    ...more,
  };
}

/** Requests that wait for a model. */
export function waitingFor(target: string): WaitingCount {
  return {
    service: 'engines',
    target,
    requests: 1,
    timely: 1,
    priority: 0,
    isHeld: true,
    isServable: false,
    waitedMilliseconds: 300,
  };
}

/** A manager of engines without a network, with requests that wait for `model-a`. */
export function createManagedPool({
  engines,
  models = ['model-a'],
  ordersAccepted = () => 0,
}: ManagedPoolOptions) {
  const clock = new ManualClock();
  const registry = new EndpointRegistry({
    clock,
    logger: SILENT_LOGGER,
    maximumConnections: () => 1,
    storeRegainedAt: () => Number.NEGATIVE_INFINITY,
  });
  const records = engines.map(engineRecord);
  registry.applySnapshot(new Map(records.map(record => [record.id, record])));
  const service = {
    name: 'engines',
    connectionLimit: 10,
    coldStart: undefined,
    engines: {
      slots: 1,
      weightsMegabytes: 2,
      adapterCapacity: 1,
      loadsPerSecond: 4,
      models: new Map(
        models.map(name => [
          name,
          {
            name,
            weightsMegabytes: 1,
            adapterMegabytes: 1,
            remoteLoadMilliseconds: 1000,
            diskLoadMilliseconds: 500,
            memoryLoadMilliseconds: 100,
          },
        ]),
      ),
    },
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
  const calls: EngineCall[] = [];
  const announcements: ReplicaAnnouncement[] = [];
  const waiting = [waitingFor('model-a')];
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
      localLoad: () => ({inFlight: [], waiting, arrivals: []}),
    }),
    control: {
      order: ({id}, order) =>
        new Promise(answer => calls.push({engineId: id, order, answer})),
      report: async ({id}) => {
        calls.push({engineId: id, order: undefined, answer: () => undefined});
        return success({
          models: records.find(record => record.id === id)?.models ?? [],
          isBusy: false,
          ordersAccepted: ordersAccepted(),
          pendingAdapters: [],
        });
      },
    },
    clock,
    logger: SILENT_LOGGER,
    metrics: new Metrics(),
    announce: announcement => announcements.push(announcement),
  });
  return {
    clock,
    registry,
    lease,
    manager,
    /** Calls to engines, oldest first. */
    calls,
    /** Orders to engines, oldest first. */
    orders: () => calls.filter(({order}) => order !== undefined),
    announcements,
    /** What requests wait for; a test may change it. */
    waiting,
  };
}

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
