import type {Endpoint, EndpointRegistry} from '../fleet/mod.ts';
import type {PeerMessageOf} from '../peers/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Replicas of a pool's engines, as announced by the pool's manager. */
export type ReplicaAnnouncement = Omit<
  PeerMessageOf<'replica_state'>,
  'kind' | 'hops'
>;

/** Options of {@link ReplicaMap}. */
export interface ReplicaMapOptions {
  registry: Pick<EndpointRegistry, 'usable'>;
  clock: Clock;
}

interface AnnouncedEngine {
  readonly startedAt: number;
  readonly targets: ReadonlySet<string>;
}

interface RemoteModels {
  readonly models: ReadonlySet<string>;
  /** Monotonic time at which a further one of them can be ready. */
  readonly readyAt: number;
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
  private readonly announcedAt = new Map<string, number>();
  private readonly expectedReadyAt = new Map<string, Map<string, number>>();
  private readonly remoteOnly = new Map<string, RemoteModels>();
  private readonly refusedUntil = new Map<string, number>();
  private readonly epochs = new Map<string, number>();
  private readonly listeners = new Set<() => void>();

  constructor(private readonly options: ReplicaMapOptions) {}

  /** Calls `listener` after each announcement. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Applies an announcement; those of previous managers are ignored. */
  receive(announcement: ReplicaAnnouncement): void {
    const {service, epoch, engines, expected} = announcement;
    if (epoch < (this.epochs.get(service) ?? 0)) return;
    this.epochs.set(service, epoch);
    const receivedAt = this.options.clock.monotonicMilliseconds();
    this.announcedAt.set(service, receivedAt);
    // An announcement lists only the engines that have changed.
    for (const {endpoint, startedAt, targets} of engines) {
      this.announced.set(endpoint, {startedAt, targets: new Set(targets)});
      for (const target of targets)
        this.refusedUntil.delete(`${endpoint} ${target}`);
    }
    if (announcement.remoteOnly !== undefined) {
      const {models, readyInMilliseconds} = announcement.remoteOnly;
      this.remoteOnly.set(service, {
        models:
          models === undefined
            ? (this.remoteOnly.get(service)?.models ?? new Set())
            : new Set(models),
        readyAt: receivedAt + readyInMilliseconds,
      });
    }
    // Each announcement lists all awaited models that can be loaded.
    this.expectedReadyAt.set(
      service,
      new Map(
        expected.map(({target, readyInMilliseconds}) => [
          target,
          receivedAt + readyInMilliseconds,
        ]),
      ),
    );
    for (const listener of this.listeners) listener();
  }

  /** State of all pools with a recent announcement, for a host that has none. */
  currentAnnouncements(): readonly ReplicaAnnouncement[] {
    const now = this.options.clock.monotonicMilliseconds();
    return [...this.epochs].flatMap(([service, epoch]) => {
      const announcedAt = this.announcedAt.get(service) ?? -Infinity;
      if (now - announcedAt > ANNOUNCEMENT_LIFETIME_MILLISECONDS) return [];
      const engines = this.options.registry
        .usable(service)
        .flatMap(({record}) => {
          const known = this.announced.get(record.id);
          if (known === undefined) return [];
          const {startedAt, targets} = known;
          return [{endpoint: record.id, startedAt, targets: [...targets]}];
        });
      const expected = [...(this.expectedReadyAt.get(service) ?? [])].map(
        ([target, readyAt]) => ({
          target,
          readyInMilliseconds: Math.max(0, readyAt - now),
        }),
      );
      const remoteOnly = this.remoteOnly.get(service);
      return [
        {
          service,
          epoch,
          engines,
          expected,
          remoteOnly: {
            models: [...(remoteOnly?.models ?? [])],
            readyInMilliseconds: (remoteOnly?.readyAt ?? now) - now,
          },
        },
      ];
    });
  }

  /** Usable engines that have a target loaded. */
  holders(service: string, target: string): readonly Endpoint[] {
    const now = this.options.clock.monotonicMilliseconds();
    return this.options.registry
      .usable(service)
      .filter(endpoint => this.holds(endpoint, target, now));
  }

  /** Monotonic time at which a replica of a target is expected to be ready. */
  expectedAt(service: string, target: string): number | undefined {
    return this.expectedReadyAt.get(service)?.get(target);
  }

  /**
   * Monotonic time at which a model that only the weight store has can be ready if
   * it is asked for now; undefined for other models.
   */
  remoteReadyAt(service: string, model: string): number | undefined {
    const now = this.options.clock.monotonicMilliseconds();
    const announcedAt =
      this.announcedAt.get(service) ?? Number.NEGATIVE_INFINITY;
    if (now - announcedAt > ANNOUNCEMENT_LIFETIME_MILLISECONDS) {
      return undefined;
    }
    const remoteOnly = this.remoteOnly.get(service);
    return remoteOnly?.models.has(model) === true
      ? remoteOnly.readyAt
      : undefined;
  }

  /** Records that an engine refused a target it should have, or was full. */
  recordRefusal(endpoint: Endpoint, target: string): void {
    this.refusedUntil.set(
      `${endpoint.record.id} ${target}`,
      this.options.clock.monotonicMilliseconds() + REFUSAL_BACKOFF_MILLISECONDS,
    );
  }

  private holds(endpoint: Endpoint, target: string, now: number): boolean {
    const {record} = endpoint;
    const refused = this.refusedUntil.get(`${record.id} ${target}`);
    if (refused !== undefined && now < refused) return false;
    const known = this.announced.get(record.id);
    const announcedAt =
      this.announcedAt.get(record.service) ?? Number.NEGATIVE_INFINITY;
    if (
      known !== undefined &&
      known.startedAt === record.startedAt &&
      now - announcedAt <= ANNOUNCEMENT_LIFETIME_MILLISECONDS
    ) {
      return known.targets.has(target);
    }
    return record.models.some(
      model =>
        model.name === target ||
        model.adapters.some(adapter => `${model.name}/${adapter}` === target),
    );
  }
}
