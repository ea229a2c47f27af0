/** Options of {@link EndpointCondition}. */
export interface EndpointConditionOptions {
  /**
   * Pause after the first failure to connect; doubles with each further one.
   * @default 300
   */
  firstPauseMilliseconds?: number;
  /** Maximum pause. @default 2000 */
  longestPauseMilliseconds?: number;
}

const DEFAULT_FIRST_PAUSE_MILLISECONDS = 300;
const DEFAULT_LONGEST_PAUSE_MILLISECONDS = 2000;

/**
 * Weight of earlier requests in the moving average of failures, which covers
 * about ten requests.
 */
const FAILURE_RATE_DECAY = 0.9;

/** Recent failures of one endpoint, as observed by this host. */
export class EndpointCondition {
  private consecutiveConnectFailures = 0;
  private pausedUntil = Number.NEGATIVE_INFINITY;
  private recentFailureRate = 0;
  private refusesUntil = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: EndpointConditionOptions = {}) {}

  /** Share of recent requests that failed, 0 to 1. */
  get failureRate(): number {
    return this.recentFailureRate;
  }

  /** Whether the endpoint should get no requests at `now`. */
  isPaused(now: number): boolean {
    return now < this.pausedUntil;
  }

  /** Milliseconds after `now` at which the pause after failures ends; 0 if there is none. */
  pauseLeft(now: number): number {
    return Math.max(0, this.pausedUntil - now);
  }

  /** Monotonic time until which the endpoint wants no requests of this host. */
  get closedUntil(): number {
    return this.refusesUntil;
  }

  /** Records that the endpoint wants no requests of this host until a time. */
  recordClosed(until: number): void {
    this.refusesUntil = Math.max(this.refusesUntil, until);
  }

  /** Records a complete response, with any status. */
  recordAnswer(isFailure: boolean): void {
    this.consecutiveConnectFailures = 0;
    this.pausedUntil = Number.NEGATIVE_INFINITY;
    this.recentFailureRate =
      this.recentFailureRate * FAILURE_RATE_DECAY +
      (isFailure ? 1 - FAILURE_RATE_DECAY : 0);
  }

  /** Records a request that was interrupted or never answered. */
  recordBrokenRequest(): void {
    this.recentFailureRate =
      this.recentFailureRate * FAILURE_RATE_DECAY + (1 - FAILURE_RATE_DECAY);
  }

  /**
   * Records a failed connection attempt and starts a pause (exponential
   * backoff).
   */
  recordConnectFailure(now: number): void {
    const first =
      this.options.firstPauseMilliseconds ?? DEFAULT_FIRST_PAUSE_MILLISECONDS;
    const longest =
      this.options.longestPauseMilliseconds ??
      DEFAULT_LONGEST_PAUSE_MILLISECONDS;
    const pause = Math.min(
      longest,
      first * 2 ** this.consecutiveConnectFailures,
    );
    this.consecutiveConnectFailures++;
    this.pausedUntil = now + pause;
    this.recordBrokenRequest();
  }
}
