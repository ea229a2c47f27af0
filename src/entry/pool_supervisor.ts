import {
  type AnnouncedOrders,
  type EngineControl,
  type LeaseRenewal,
  PoolLease,
  PoolManager,
  type ReplicaAnnouncement,
} from '../engines/mod.ts';
import type {EndpointRegistry, FleetLoad} from '../fleet/mod.ts';
import type {EventLogger, Metrics} from '../observability/mod.ts';
import type {EndpointLimits} from '../permits/mod.ts';
import type {RowStore, StoreEra} from '../stores/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {ConfigurationSource} from './configuration_source.ts';

/** Options of {@link PoolSupervisor}. */
export interface PoolSupervisorOptions {
  store: RowStore;
  storeEra: StoreEra;
  engines: EngineControl;
  registry: EndpointRegistry;
  load: FleetLoad;
  limits: EndpointLimits;
  configuration: ConfigurationSource;
  clock: Clock;
  logger: EventLogger;
  metrics: Metrics;
  hostId: string;
  incarnation: string;
  orderTurnMilliseconds: number;
  /**
   * Whether a new manager may order engines without a recent order before the turn of
   * the whole pool begins.
   */
  ordersBySettledEngine: boolean;
  announcedOrders: (
    endpoint: string,
    startedAt: number,
  ) => AnnouncedOrders | undefined;
  /** Whether all replicas that a model lacks are loaded at the same time. */
  loadsReplicasTogether: boolean;
  /** Returns the rank of this host among the active ones; undefined on a standby host. */
  rank: () => number | undefined;
  announce: (announcement: ReplicaAnnouncement) => void;
  /** Tells all hosts that this one has stopped giving orders to a pool. */
  broadcastResignation: (
    service: string,
    epoch: number,
    sinceOrder: number,
  ) => void;
}

/** Upper bound of the time since the last order in messages; sent if there was none. */
const MAXIMUM_SINCE_ORDER_MILLISECONDS = 3_600_000;

/** Time without a message after which the manager of a pool is presumed stopped. */
const MANAGER_TIMEOUT_MILLISECONDS = 1200;

/**
 * Additional time for each rank, so that few hosts read and write the lease at
 * once. About the mean time that a host takes to acquire it.
 */
const MANAGER_TIMEOUT_PER_RANK_MILLISECONDS = 150;

/**
 * Bound of that additional time: hosts of better rank may have lost the store
 * while they still exchange messages with this one.
 */
const MAXIMUM_RANK_DELAY_MILLISECONDS = 2400;

interface ManagedPool {
  readonly lease: PoolLease;
  readonly manager: PoolManager;
}

/** Runs a lease and a manager for each engine pool of the configuration. */
export class PoolSupervisor {
  private readonly pools = new Map<string, ManagedPool>();
  private readonly lastHeardAt = new Map<string, number>();
  private rankedSince: number | undefined;
  private isStopping = false;

  constructor(private readonly options: PoolSupervisorOptions) {}

  /** Starts to compete for the leases of new pools in the current configuration. */
  startPools(): void {
    if (this.isStopping) return;
    const services = this.options.configuration.index?.configuration.services;
    for (const service of services?.values() ?? []) {
      if (service.engines === undefined || this.pools.has(service.name)) {
        continue;
      }
      const pool = this.create(service.name);
      this.pools.set(service.name, pool);
      void pool.lease.run();
      void pool.manager.run();
    }
  }

  /** Makes all managers check demand and engines now. */
  notify(): void {
    for (const {manager} of this.pools.values()) manager.notify();
  }

  /** Records that another host manages a pool. */
  recordManager(
    service: string,
    epoch: number,
    renewal: LeaseRenewal | undefined,
  ): void {
    this.lastHeardAt.set(service, this.options.clock.monotonicMilliseconds());
    const lease = this.pools.get(service)?.lease;
    lease?.recordEpoch(epoch);
    if (renewal !== undefined) lease?.receiveRenewal(renewal);
  }

  /** Records that another host no longer manages a pool. */
  recordResignation(service: string, epoch: number, sinceOrder: number): void {
    this.lastHeardAt.delete(service);
    this.pools.get(service)?.lease.receiveResignation(epoch, sinceOrder);
  }

  /** Whether this host manages any pool. */
  get managesPool(): boolean {
    return [...this.pools.values()].some(({lease}) => lease.isHeld());
  }

  /** Stops giving orders and releases the leases. */
  async stop(): Promise<void> {
    this.isStopping = true;
    const pools = [...this.pools.values()];
    for (const {manager} of pools) manager.stop();
    await Promise.all(pools.map(({lease}) => lease.release()));
  }

  /**
   * Whether this host may compete for the lease of a pool: it is active, no
   * manager has been heard from, and hosts of better rank had time to acquire it.
   */
  private mayCompete(name: string): boolean {
    const now = this.options.clock.monotonicMilliseconds();
    const rank = this.options.rank();
    if (rank === undefined) {
      this.rankedSince = undefined;
      return false;
    }
    this.rankedSince ??= now;
    const rankDelay = Math.min(
      rank * MANAGER_TIMEOUT_PER_RANK_MILLISECONDS,
      MAXIMUM_RANK_DELAY_MILLISECONDS,
    );
    const heardAt = this.lastHeardAt.get(name);
    const since =
      heardAt === undefined
        ? this.rankedSince
        : heardAt + MANAGER_TIMEOUT_MILLISECONDS;
    return now - since >= rankDelay;
  }

  /** Sends the complete state of the pools managed here to a new peer. */
  announceTo(send: (announcement: ReplicaAnnouncement) => void): void {
    for (const {manager} of this.pools.values()) {
      const announcement = manager.currentAnnouncement();
      if (announcement !== undefined) send(announcement);
    }
  }

  private create(name: string): ManagedPool {
    const {options} = this;
    const lease = new PoolLease({
      ...options,
      scope: `pool/${name}`,
      handoverDelayMilliseconds: options.orderTurnMilliseconds,
      hasHeardFromHolder: () => !this.mayCompete(name),
      random: Math.random,
      onResigned: (epoch, sinceOrder) =>
        options.broadcastResignation(
          name,
          epoch,
          Math.min(sinceOrder, MAXIMUM_SINCE_ORDER_MILLISECONDS),
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
