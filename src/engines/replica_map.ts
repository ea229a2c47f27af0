import type {Endpoint, EndpointRegistry} from '../fleet/mod.ts';
import type {PeerMessageOf} from '../peers/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Replicas of some engines as their pool's manager announces them. */
export type ReplicaAnnouncement = Omit<PeerMessageOf<'replica_state'>, 'kind'>;

/** Options of {@link ReplicaMap}. */
export interface ReplicaMapOptions {
  registry: EndpointRegistry;
  clock: Clock;
}

interface AnnouncedEngine {
  readonly startedAt: number;
  readonly targets: ReadonlySet<string>;
  readonly receivedAt: number;
}

/** Without news from a manager for this long, the engines' rows count. */
export const ANNOUNCEMENT_LIFETIME_MILLISECONDS = 3000;

/**
 * Time for which an engine that refused a target is not asked for it: about
 * twice the lag of an engine's report, so that the next choice knows better.
 */
const REFUSAL_BACKOFF_MILLISECONDS = 400;

/**
 * Which engine can run which target. The manager's announcements go before the
 * engines' rows, which lag and leave adapters out between heartbeats.
 */
export class ReplicaMap {
  private readonly announced = new Map<string, AnnouncedEngine>();
  private readonly expectedReadyAt = new Map<string, Map<string, number>>();
  private readonly refusedUntil = new Map<string, number>();
  private readonly epochs = new Map<string, number>();
  private readonly listeners = new Set<() => void>();

  constructor(private readonly options: ReplicaMapOptions) {}

  /** Calls `listener` after each announcement. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Takes an announcement; those of former managers are ignored. */
  receive(announcement: ReplicaAnnouncement): void {
    const {service, epoch, engines, expected} = announcement;
    if (epoch < (this.epochs.get(service) ?? 0)) return;
    this.epochs.set(service, epoch);
    const receivedAt = this.options.clock.monotonicMilliseconds();
    for (const {endpoint, startedAt, targets} of engines) {
      this.announced.set(endpoint, {
        startedAt,
        targets: new Set(targets),
        receivedAt,
      });
      for (const target of targets)
        this.refusedUntil.delete(`${endpoint} ${target}`);
    }
    // Each announcement names all loads that are under way.
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

  /** Usable engines that hold a target. */
  holders(service: string, target: string): readonly Endpoint[] {
    const now = this.options.clock.monotonicMilliseconds();
    return this.options.registry
      .usable(service)
      .filter(endpoint => this.holds(endpoint, target, now));
  }

  /** Monotonic time at which the manager expects a replica of a target. */
  expectedAt(service: string, target: string): number | undefined {
    return this.expectedReadyAt.get(service)?.get(target);
  }

  /** Notes that an engine refused a target that it was believed to hold, or was full. */
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
    if (
      known !== undefined &&
      known.startedAt === record.startedAt &&
      now - known.receivedAt <= ANNOUNCEMENT_LIFETIME_MILLISECONDS
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
