import {
  type Endpoint,
  type EndpointRegistry,
  type ReportDisposition,
  ReportSequence,
} from '../fleet/mod.ts';
import type {PeerMessageOf} from '../peers/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {ReplicaState} from './replica_state.ts';

/** Changes of the replicas of a pool's engines, as announced by the pool's manager. */
export type ReplicaAnnouncement = Omit<
  PeerMessageOf<'replica_state'>,
  'kind' | 'hops'
>;

/** Options of {@link ReplicaMap}. */
export interface ReplicaMapOptions {
  registry: Pick<EndpointRegistry, 'usable'>;
  /** Identity of this process. */
  incarnation: string;
  clock: Clock;
}

interface AnnouncedEngine {
  readonly startedAt: number;
  readonly targets: ReadonlySet<string>;
  readonly orders: AnnouncedOrders | undefined;
}

/** Orders of an engine process, as its pool's managers have announced them. */
export interface AnnouncedOrders {
  readonly accepted: number;
  /** Monotonic time at which this host learned of that number. */
  readonly since: number;
}

/** What was announced of one pool. */
interface AnnouncedPool {
  readonly sequence: ReportSequence;
  /** Process that has announced it. */
  announcer: string;
  epoch: number;
  announcedAt: number;
  /** Monotonic time at which targets without a replica are expected to be ready. */
  readonly expectedReadyAt: Map<string, number>;
  /** Models that only the weight store has. */
  readonly remoteOnly: Set<string>;
  /** Monotonic time at which a further one of them can be ready. */
  remoteReadyAt: number;
}

/**
 * Time since the last announcement of a pool after which its engines' rows are
 * used in place of the announced state.
 */
export const ANNOUNCEMENT_LIFETIME_MILLISECONDS = 3000;

/**
 * Time for which an engine that refused a target gets no requests for it. About
 * twice the lag of an engine's report, so that the engine's state is up to date
 * by then.
 */
const REFUSAL_BACKOFF_MILLISECONDS = 400;

/**
 * Maps targets to the engines that can serve them. The manager's announcements
 * take precedence over the engines' rows, which lag and omit adapters between
 * heartbeats.
 */
export class ReplicaMap {
  private readonly announced = new Map<string, AnnouncedEngine>();
  private readonly pools = new Map<string, AnnouncedPool>();
  private readonly refusedUntil = new Map<string, number>();
  private readonly listeners = new Set<() => void>();

  constructor(private readonly options: ReplicaMapOptions) {}

  /** Calls `listener` after each announcement. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Applies an announcement; those of previous managers are ignored. */
  receive(announcement: ReplicaAnnouncement): ReportDisposition {
    const {service, epoch, announcer, sequence, afterSequence} = announcement;
    const pool = this.poolOf(service);
    if (epoch < pool.epoch) return 'ignore';
    // A manager that is a standby host gets its own state in a digest as well.
    const isManager = pool.announcer === this.options.incarnation;
    if (isManager && announcer !== pool.announcer && epoch === pool.epoch)
      return 'ignore';
    const source = `${announcer} ${epoch}`;
    const disposition = pool.sequence.accept({source, sequence, afterSequence});
    if (disposition !== 'apply') return disposition;
    pool.epoch = epoch;
    pool.announcer = announcer;
    pool.announcedAt = this.now();
    if (afterSequence === undefined) {
      pool.expectedReadyAt.clear();
      pool.remoteOnly.clear();
    }
    this.applyEngines(announcement.engines);
    this.applyExpectations(pool, announcement);
    for (const listener of this.listeners) listener();
    return disposition;
  }

  /** State of all pools with a recent announcement, for hosts that have none. */
  currentStates(): readonly ReplicaState[] {
    const now = this.now();
    return [...this.pools].flatMap(([service, pool]) => {
      if (now - pool.announcedAt > ANNOUNCEMENT_LIFETIME_MILLISECONDS)
        return [];
      return [
        {
          service,
          epoch: pool.epoch,
          engines: this.announcedEngines(service),
          expected: [...pool.expectedReadyAt].map(([target, readyAt]) => ({
            target,
            readyInMilliseconds: Math.max(0, readyAt - now),
          })),
          remoteOnly: {
            models: [...pool.remoteOnly],
            readyInMilliseconds: pool.remoteReadyAt - now,
          },
        },
      ];
    });
  }

  /** The same as complete announcements, for hosts that miss some. */
  currentAnnouncements(): readonly ReplicaAnnouncement[] {
    return this.currentStates().map(state => {
      const pool = this.poolOf(state.service);
      return {
        ...state,
        announcer: pool.announcer,
        sequence: pool.sequence.sequence ?? 0,
        engines: [...state.engines],
        expected: [...state.expected],
        unexpected: [],
        remoteOnly: {
          added: [...state.remoteOnly.models],
          removed: [],
          readyInMilliseconds: state.remoteOnly.readyInMilliseconds,
        },
      };
    });
  }

  /** Orders of an engine process; undefined if none were announced. */
  announcedOrders(id: string, startedAt: number): AnnouncedOrders | undefined {
    const known = this.announced.get(id);
    return known?.startedAt === startedAt ? known.orders : undefined;
  }

  /** Usable engines that have a target loaded. */
  holders(service: string, target: string): readonly Endpoint[] {
    return this.options.registry
      .usable(service)
      .filter(endpoint => this.holds(endpoint, target));
  }

  /** Monotonic time at which a replica of a target is expected to be ready. */
  expectedAt(service: string, target: string): number | undefined {
    return this.pools.get(service)?.expectedReadyAt.get(target);
  }

  /**
   * Monotonic time at which a model that only the weight store has can be ready if
   * it is asked for now; undefined for other models.
   */
  remoteReadyAt(service: string, model: string): number | undefined {
    const pool = this.pools.get(service);
    if (pool === undefined || !this.isCurrent(pool)) return undefined;
    return pool.remoteOnly.has(model) ? pool.remoteReadyAt : undefined;
  }

  /** Records that an engine refused a target it should have, or was full. */
  recordRefusal(endpoint: Endpoint, target: string): void {
    this.refusedUntil.set(
      `${endpoint.record.id} ${target}`,
      this.now() + REFUSAL_BACKOFF_MILLISECONDS,
    );
  }

  /** Whether an engine gets no requests for a target, since it refused one just now. */
  hasRefused({record}: Endpoint, target: string): boolean {
    const until = this.refusedUntil.get(`${record.id} ${target}`);
    return until !== undefined && this.now() < until;
  }

  private holds(endpoint: Endpoint, target: string): boolean {
    const {record} = endpoint;
    if (this.hasRefused(endpoint, target)) return false;
    const known = this.announced.get(record.id);
    const pool = this.pools.get(record.service);
    if (
      known !== undefined &&
      known.startedAt === record.startedAt &&
      pool !== undefined &&
      this.isCurrent(pool)
    ) {
      return known.targets.has(target);
    }
    return record.models.some(
      model =>
        model.name === target ||
        model.adapters.some(adapter => `${model.name}/${adapter}` === target),
    );
  }

  /** Announced engines that may be used. */
  private announcedEngines(service: string): ReplicaState['engines'] {
    return this.options.registry.usable(service).flatMap(({record}) => {
      const known = this.announced.get(record.id);
      if (known === undefined) return [];
      const {startedAt, targets, orders} = known;
      return [
        {
          endpoint: record.id,
          startedAt,
          targets: [...targets],
          ...(orders === undefined ? {} : {ordersAccepted: orders.accepted}),
        },
      ];
    });
  }

  private applyEngines(engines: ReplicaAnnouncement['engines']): void {
    for (const {endpoint, startedAt, targets, ordersAccepted} of engines) {
      const known = this.announcedOrders(endpoint, startedAt);
      const orders =
        ordersAccepted === undefined || ordersAccepted === known?.accepted
          ? known
          : {accepted: ordersAccepted, since: this.now()};
      this.announced.set(endpoint, {
        startedAt,
        targets: new Set(targets),
        orders,
      });
      for (const target of targets)
        this.refusedUntil.delete(`${endpoint} ${target}`);
    }
  }

  private applyExpectations(
    pool: AnnouncedPool,
    {expected, unexpected, remoteOnly}: ReplicaAnnouncement,
  ): void {
    const now = this.now();
    for (const target of unexpected) pool.expectedReadyAt.delete(target);
    for (const {target, readyInMilliseconds} of expected)
      pool.expectedReadyAt.set(target, now + readyInMilliseconds);
    for (const model of remoteOnly.removed) pool.remoteOnly.delete(model);
    for (const model of remoteOnly.added) pool.remoteOnly.add(model);
    pool.remoteReadyAt = now + remoteOnly.readyInMilliseconds;
  }

  /** Whether the announced state is recent enough to be used. */
  private isCurrent({announcedAt}: AnnouncedPool): boolean {
    return this.now() - announcedAt <= ANNOUNCEMENT_LIFETIME_MILLISECONDS;
  }

  private poolOf(service: string): AnnouncedPool {
    let pool = this.pools.get(service);
    if (pool === undefined) {
      pool = {
        sequence: new ReportSequence(),
        announcer: '',
        epoch: 0,
        announcedAt: Number.NEGATIVE_INFINITY,
        expectedReadyAt: new Map(),
        remoteOnly: new Set(),
        remoteReadyAt: Number.NEGATIVE_INFINITY,
      };
      this.pools.set(service, pool);
    }
    return pool;
  }

  private now(): number {
    return this.options.clock.monotonicMilliseconds();
  }
}
