import {type Clock, sleep} from '../time/mod.ts';
import type {EventLogger} from './event_logger.ts';
import type {Metrics} from './metrics.ts';

/** Options of {@link EventLoopMonitor}. */
export interface EventLoopMonitorOptions {
  clock: Clock;
  logger: EventLogger;
  metrics: Metrics;
}

/** Interval between two measurements. */
const INTERVAL_MILLISECONDS = 50;

/**
 * Time over which a measured delay halves while later ones are shorter, so that one
 * short measurement between two long ones does not hide them.
 */
const HALF_LIFE_MILLISECONDS = 500;

/** Delay from which the event loop counts as delayed in the log. */
const LOGGED_DELAY_MILLISECONDS = 250;

/** Delay below which it counts as recovered. */
const RECOVERED_DELAY_MILLISECONDS = 50;

/** Histogram of the delays of the event loop. */
const DELAY_METRIC = 'limpetdale_event_loop_delay_seconds';

/**
 * Measures how late timers run, which is how long anything that arrives at this
 * process waits before it is handled.
 */
export class EventLoopMonitor {
  private readonly stopping = new AbortController();
  private delay = 0;
  private measuredAt: number;
  /** Longest delay since the event loop was found delayed; 0 while it is not. */
  private longestDelay = 0;

  constructor(private readonly options: EventLoopMonitorOptions) {
    this.measuredAt = options.clock.monotonicMilliseconds();
  }

  /** Recent delay of the event loop in milliseconds. */
  get delayMilliseconds(): number {
    const now = this.options.clock.monotonicMilliseconds();
    const overdue = now - this.measuredAt - INTERVAL_MILLISECONDS;
    return Math.max(this.delay, overdue, 0);
  }

  /** Measures until {@link stop}. */
  async run(): Promise<void> {
    const {clock} = this.options;
    const {signal} = this.stopping;
    this.measuredAt = clock.monotonicMilliseconds();
    while (!signal.aborted) {
      await sleep(clock, INTERVAL_MILLISECONDS, signal);
      if (!signal.aborted) this.measure();
    }
  }

  /** Stops the measurements. */
  stop(): void {
    this.stopping.abort();
  }

  private measure(): void {
    const now = this.options.clock.monotonicMilliseconds();
    const elapsed = now - this.measuredAt;
    const measured = Math.max(0, elapsed - INTERVAL_MILLISECONDS);
    this.measuredAt = now;
    const decayed = this.delay * 0.5 ** (elapsed / HALF_LIFE_MILLISECONDS);
    this.delay = Math.max(measured, decayed);
    this.options.metrics.recordDuration(DELAY_METRIC, measured);
    this.logDelay();
  }

  private logDelay(): void {
    const {logger} = this.options;
    const {delay, longestDelay} = this;
    const isDelayed = longestDelay > 0;
    if (!isDelayed && delay >= LOGGED_DELAY_MILLISECONDS) {
      this.longestDelay = delay;
      logger.event('eventLoopDelayed', {
        delayMilliseconds: Math.round(delay),
      });
    } else if (isDelayed && delay < RECOVERED_DELAY_MILLISECONDS) {
      this.longestDelay = 0;
      logger.event('eventLoopRecovered', {
        longestDelayMilliseconds: Math.round(longestDelay),
      });
    } else if (isDelayed) {
      this.longestDelay = Math.max(longestDelay, delay);
    }
  }
}
