import type {Clock} from '../time/mod.ts';
import type {EventFields, EventLogger} from './event_logger.ts';
import type {EventName} from './events.ts';

/** Options of {@link RateLimitedLogger}. */
export interface RateLimitedLoggerOptions {
  logger: EventLogger;
  clock: Clock;
  /** Events of which a sample suffices, such as those of successful requests. */
  sampled: ReadonlySet<EventName>;
  /** Maximum number of lines per second for sampled events. */
  sampledPerSecond: number;
  /** Maximum number of lines per second for all other events. */
  othersPerSecond: number;
}

const WINDOW_MILLISECONDS = 1000;

/**
 * Limits the number of log lines per second. Events that are not sampled, such as
 * failures, have a separate, larger limit.
 */
export class RateLimitedLogger implements EventLogger {
  private windowStartedAt = Number.NEGATIVE_INFINITY;
  private sampledLines = 0;
  private otherLines = 0;
  private droppedLines = 0;

  constructor(private readonly options: RateLimitedLoggerOptions) {}

  event(name: EventName, fields?: EventFields): void {
    this.startWindowIfDue();
    const {sampled, sampledPerSecond, othersPerSecond, logger} = this.options;
    const isSampled = sampled.has(name);
    const isWithinLimit = isSampled
      ? this.sampledLines++ < sampledPerSecond
      : this.otherLines++ < othersPerSecond;
    if (isWithinLimit) logger.event(name, fields);
    else this.droppedLines++;
  }

  private startWindowIfDue(): void {
    const now = this.options.clock.monotonicMilliseconds();
    if (now - this.windowStartedAt < WINDOW_MILLISECONDS) return;
    const {droppedLines} = this;
    this.windowStartedAt = now;
    this.sampledLines = 0;
    this.otherLines = 0;
    this.droppedLines = 0;
    if (droppedLines > 0) {
      this.options.logger.event('logLinesDropped', {lines: droppedLines});
    }
  }
}
