import type {Clock} from '../time/mod.ts';
import type {EventFields, EventLogger} from './event_logger.ts';
import type {EventName} from './events.ts';

/** Options of {@link RateLimitedLogger}. */
export interface RateLimitedLoggerOptions {
  logger: EventLogger;
  clock: Clock;
  /** Events of which only some are needed: those of requests that went well. */
  sampled: ReadonlySet<EventName>;
  /** Lines of sampled events a second. */
  sampledPerSecond: number;
  /** Lines of all other events a second. */
  othersPerSecond: number;
}

const SECOND_MILLISECONDS = 1000;

/** Bounds the lines a second; failures have a larger bound of their own. */
export class RateLimitedLogger implements EventLogger {
  private second = Number.NEGATIVE_INFINITY;
  private sampledLines = 0;
  private otherLines = 0;
  private dropped = 0;

  constructor(private readonly options: RateLimitedLoggerOptions) {}

  event(name: EventName, fields?: EventFields): void {
    this.startSecond();
    const {sampled, sampledPerSecond, othersPerSecond, logger} = this.options;
    const isSampled = sampled.has(name);
    const hasRoom = isSampled
      ? this.sampledLines++ < sampledPerSecond
      : this.otherLines++ < othersPerSecond;
    if (hasRoom) logger.event(name, fields);
    else this.dropped++;
  }

  private startSecond(): void {
    const now = this.options.clock.monotonicMilliseconds();
    if (now - this.second < SECOND_MILLISECONDS) return;
    const {dropped} = this;
    this.second = now;
    this.sampledLines = 0;
    this.otherLines = 0;
    this.dropped = 0;
    if (dropped > 0) {
      this.options.logger.event('logLinesDropped', {lines: dropped});
    }
  }
}
