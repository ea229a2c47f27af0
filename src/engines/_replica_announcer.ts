import type {Clock} from '../time/mod.ts';
import type {EngineState} from './engine_state.ts';
import type {LoadForecast} from './forecast_loads.ts';
import type {LeaseRenewal} from './pool_lease.ts';
import type {ReplicaAnnouncement} from './replica_map.ts';

/** Input of {@link describeReplicas}. */
export interface ReplicaDescription {
  readonly service: string;
  readonly epoch: number;
  readonly renewal: LeaseRenewal | undefined;
  readonly engines: readonly EngineState[];
  readonly forecast: LoadForecast;
  /** Monotonic time of the forecast. */
  readonly forecastAt: number;
  readonly now: number;
}

/** Complete state of a pool, as its manager announces it. */
export function describeReplicas(
  input: ReplicaDescription,
): ReplicaAnnouncement {
  const {service, epoch, renewal, engines, forecast, forecastAt, now} = input;
  const expected = new Map(forecast.readyIn);
  for (const {pending} of engines) {
    if (pending?.operation !== 'load') continue;
    expected.set(pending.model, Math.max(0, pending.expectedAt - now));
  }
  return {
    service,
    epoch,
    ...(renewal === undefined ? {} : {renewal}),
    engines: engines.map(engine => ({
      endpoint: engine.record.id,
      startedAt: engine.record.startedAt,
      targets: engine.availableTargets(),
    })),
    expected: [...expected].map(([target, readyInMilliseconds]) => ({
      target,
      readyInMilliseconds,
    })),
    remoteOnly: {
      models: [...forecast.remoteOnly],
      readyInMilliseconds: forecast.remoteReadyIn - (now - forecastAt),
    },
  };
}

/** Options of {@link ReplicaAnnouncer}. */
export interface ReplicaAnnouncerOptions {
  clock: Clock;
  /** Sends an announcement to all hosts, including this one. */
  announce: (announcement: ReplicaAnnouncement) => void;
}

/** Interval at which unchanged announcements are repeated as a sign of life. */
const ANNOUNCEMENT_MILLISECONDS = 500;

/**
 * Interval at which changed expectations alone are announced. With many awaited
 * models they change in each round, and each host gets each announcement.
 */
const EXPECTATION_MILLISECONDS = 250;

/** Announces what has changed in a pool since the last announcement. */
export class ReplicaAnnouncer {
  private announcedAt = Number.NEGATIVE_INFINITY;
  /** Last announced state of each engine. */
  private engines: ReadonlyMap<string, string> = new Map();
  private expected = '';
  private remoteModels = '';

  constructor(private readonly options: ReplicaAnnouncerOptions) {}

  /** Forgets what was announced, so that the next announcement is complete. */
  reset(): void {
    this.engines = new Map();
    this.remoteModels = '';
  }

  /**
   * Announces the engines whose targets have changed, or none of them as a sign of
   * life when the interval is over.
   */
  announce(complete: ReplicaAnnouncement): void {
    const {clock, announce} = this.options;
    const now = clock.monotonicMilliseconds();
    const engines = new Map(
      complete.engines.map(engine => [
        engine.endpoint,
        `${engine.startedAt} ${engine.targets.join(' ')}`,
      ]),
    );
    const changed = complete.engines.filter(
      ({endpoint}) => this.engines.get(endpoint) !== engines.get(endpoint),
    );
    const expected = complete.expected.map(({target}) => target).join(' ');
    const models = complete.remoteOnly?.models ?? [];
    const remoteModels = models.join(' ');
    const areModelsChanged = remoteModels !== this.remoteModels;
    const interval =
      expected !== this.expected || areModelsChanged
        ? EXPECTATION_MILLISECONDS
        : ANNOUNCEMENT_MILLISECONDS;
    const isDue = now - this.announcedAt >= interval;
    if (changed.length === 0 && !isDue) return;
    this.announcedAt = now;
    this.engines = engines;
    this.expected = expected;
    this.remoteModels = remoteModels;
    announce({
      ...complete,
      engines: changed,
      remoteOnly: {
        readyInMilliseconds: complete.remoteOnly?.readyInMilliseconds ?? 0,
        ...(areModelsChanged ? {models} : {}),
      },
    });
  }
}
