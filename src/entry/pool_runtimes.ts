import {
  type EngineControl,
  type LeaseRenewal,
  PoolLease,
  PoolManager,
  type ReplicaAnnouncement,
} from '../engines/mod.ts';
import type {EndpointRegistry, FleetLoad} from '../fleet/mod.ts';
import type {EventLogger, Metrics} from '../observability/mod.ts';
import type {RowStore} from '../stores/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {ConfigurationSource} from './configuration_source.ts';

/** Options of {@link PoolRuntimes}. */
export interface PoolRuntimesOptions {
  store: RowStore;
  engines: EngineControl;
  registry: EndpointRegistry;
  load: FleetLoad;
  configuration: ConfigurationSource;
  clock: Clock;
  logger: EventLogger;
  metrics: Metrics;
  hostId: string;
  incarnation: string;
  orderTurnMilliseconds: number;
  announce: (announcement: ReplicaAnnouncement) => void;
  /** Tells all hosts that this one gives no more orders. */
  resigned: (service: string, epoch: number, sinceOrder: number) => void;
}

/** Stands for a host that has given no order, in messages. */
const NO_ORDER_MILLISECONDS = 3_600_000;

/** Without news for this long, the manager of a pool has probably stopped. */
const MANAGER_SILENCE_MILLISECONDS = 1200;

interface PoolRuntime {
  readonly lease: PoolLease;
  readonly manager: PoolManager;
}

/** Lease and manager of each pool of engines that the configuration names. */
export class PoolRuntimes {
  private readonly runtimes = new Map<string, PoolRuntime>();
  private readonly heardAt = new Map<string, number>();
  private isStopping = false;

  constructor(private readonly options: PoolRuntimesOptions) {}

  /** Starts to compete for the pools of the configuration in force. */
  refresh(): void {
    if (this.isStopping) return;
    const services = this.options.configuration.index?.configuration.services;
    for (const service of services?.values() ?? []) {
      if (service.engines === undefined || this.runtimes.has(service.name)) {
        continue;
      }
      const runtime = this.create(service.name);
      this.runtimes.set(service.name, runtime);
      void runtime.lease.run();
      void runtime.manager.run();
    }
  }

  /** Looks at demand and engines at once. */
  notify(): void {
    for (const {manager} of this.runtimes.values()) manager.notify();
  }

  /** Notes that another host manages a pool. */
  managerHeard(service: string, renewal: LeaseRenewal | undefined): void {
    this.heardAt.set(service, this.options.clock.monotonicMilliseconds());
    if (renewal === undefined) return;
    this.runtimes.get(service)?.lease.receiveRenewal(renewal);
  }

  /** Notes that another host no longer manages a pool. */
  managerResigned(service: string, epoch: number, sinceOrder: number): void {
    this.heardAt.delete(service);
    this.runtimes.get(service)?.lease.receiveResignation(epoch, sinceOrder);
  }

  /** Whether this host manages a pool. */
  get managesPool(): boolean {
    return [...this.runtimes.values()].some(({lease}) => lease.isHeld());
  }

  /** Stops giving orders and hands the leases over. */
  async stop(): Promise<void> {
    this.isStopping = true;
    const runtimes = [...this.runtimes.values()];
    for (const {manager} of runtimes) manager.stop();
    await Promise.all(runtimes.map(({lease}) => lease.release()));
  }

  private create(name: string): PoolRuntime {
    const {options} = this;
    const {clock} = options;
    const lease = new PoolLease({
      ...options,
      scope: `pool/${name}`,
      handoverDelayMilliseconds: options.orderTurnMilliseconds,
      hasHeardFromHolder: () =>
        clock.monotonicMilliseconds() -
          (this.heardAt.get(name) ?? Number.NEGATIVE_INFINITY) <
        MANAGER_SILENCE_MILLISECONDS,
      random: Math.random,
      onResigned: (epoch, sinceOrder) =>
        options.resigned(
          name,
          epoch,
          Math.min(sinceOrder, NO_ORDER_MILLISECONDS),
        ),
      onAcquired: () => manager.notify(),
    });
    const manager: PoolManager = new PoolManager({
      ...options,
      control: options.engines,
      lease,
      service: () =>
        options.configuration.index?.configuration.services.get(name),
    });
    return {lease, manager};
  }
}
