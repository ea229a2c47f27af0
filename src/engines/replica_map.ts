import type {Endpoint, EndpointRegistry} from '../fleet/mod.ts';
import type {PeerMessageOf} from '../peers/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Replicas of a pool's engines, as announced by the pool's manager. */
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

/** Age above which announcements are ignored in favour of the engines' rows. */
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
  private readonly expectedReadyAt = new Map<string, Map<string, number>>();
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
    for (const {endpoint, startedAt, targets} of engines) {
      this.announced.set(endpoint, {
        startedAt,
        targets: new Set(targets),
        receivedAt,
      });
      for (const target of targets)
        this.refusedUntil.delete(`${endpoint} ${target}`);
    }
    // Each announcement lists all loads in progress.
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
