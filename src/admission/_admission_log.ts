import type {EventLogger, Metrics} from '../observability/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {RefusalReason} from './admission_outcome.ts';

/** Options of {@link AdmissionLog}. */
export interface AdmissionLogOptions {
  clock: Clock;
  logger: EventLogger;
  metrics: Metrics;
}

/** A refusal with what it was decided from. */
export interface LoggedRefusal {
  readonly requestId: string;
  readonly service: string;
  readonly target: string;
  readonly team: string | undefined;
  readonly priority: number;
  readonly reason: RefusalReason;
  readonly level: number;
  /** Lowest occupancy of the engines; undefined if none has the target. */
  readonly occupancy: number | undefined;
  /** Requests before it that wait for the same engines. */
  readonly ahead: number;
  /** All waiting requests of this host. */
  readonly waiting: number;
  readonly placesPerSecond: number;
  readonly expectedWaitMilliseconds: number;
  readonly remainingMilliseconds: number;
  readonly retryAfterMilliseconds: number;
}

/** Refusals that are logged in a second; the rest are counted. */
const LINES_PER_SECOND = 10;

/** Writes the log lines and metrics of waiting requests. */
export class AdmissionLog {
  private lines = 0;
  private omitted = 0;
  private windowStartedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: AdmissionLogOptions) {}

  /** Records a refusal. */
  refused(refusal: LoggedRefusal): void {
    const {clock, logger, metrics} = this.options;
    const {reason, service} = refusal;
    metrics.increment('limpetdale_admission_refusals_total', {reason, service});
    const now = clock.monotonicMilliseconds();
    if (now - this.windowStartedAt >= 1000) {
      this.windowStartedAt = now;
      this.lines = 0;
    }
    if (this.lines >= LINES_PER_SECOND) {
      this.omitted++;
      return;
    }
    this.lines++;
    logger.event('admissionRefused', {
      ...refusal,
      level: round(refusal.level),
      occupancy:
        refusal.occupancy === undefined ? undefined : round(refusal.occupancy),
      placesPerSecond: round(refusal.placesPerSecond),
      expectedWaitMilliseconds: Math.round(refusal.expectedWaitMilliseconds),
      remainingMilliseconds: Math.round(refusal.remainingMilliseconds),
      retryAfterMilliseconds: Math.round(refusal.retryAfterMilliseconds),
      omittedBefore: this.omitted,
    });
    this.omitted = 0;
  }

  /** Records the end of a wait. */
  ended(outcome: string, service: string, milliseconds: number): void {
    this.options.metrics.recordDuration(
      'limpetdale_admission_wait_seconds',
      milliseconds,
      {outcome, service},
    );
  }

  /** Records the number of waiting requests. */
  waiting(requests: number): void {
    this.options.metrics.setGauge('limpetdale_admission_waiting', requests);
  }
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
