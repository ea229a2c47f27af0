/** Options of {@link EndpointCondition}. */
export interface EndpointConditionOptions {
  /** First pause after a failure to connect. @default 300 */
  firstPauseMilliseconds?: number;
  /** Longest pause. @default 2000 */
  longestPauseMilliseconds?: number;
}

const DEFAULT_FIRST_PAUSE_MILLISECONDS = 300;
const DEFAULT_LONGEST_PAUSE_MILLISECONDS = 2000;

/** Weight of the past in the failure share; covers about ten answers. */
const FAILURE_MEMORY = 0.9;

/** What a host has seen of an endpoint's answers. */
export class EndpointCondition {
  private failedConnections = 0;
  private pausedUntil = Number.NEGATIVE_INFINITY;
  private failures = 0;

  constructor(private readonly options: EndpointConditionOptions = {}) {}

  /** Share of recent requests that failed, 0 to 1. */
  get failureRate(): number {
    return this.failures;
  }

  /** Whether the endpoint gets no requests at `now`. */
  isPaused(now: number): boolean {
    return now < this.pausedUntil;
  }

  /** Notes a complete answer, whatever its status. */
  recordAnswer(isFailure: boolean): void {
    this.failedConnections = 0;
    this.pausedUntil = Number.NEGATIVE_INFINITY;
    this.failures =
      this.failures * FAILURE_MEMORY + (isFailure ? 1 - FAILURE_MEMORY : 0);
  }

  /** Notes a request that was broken off or never answered. */
  recordBrokenRequest(): void {
    this.failures = this.failures * FAILURE_MEMORY + (1 - FAILURE_MEMORY);
  }

  /** Notes a connection that could not be made; each one pauses longer. */
  recordConnectFailure(now: number): void {
    const first =
      this.options.firstPauseMilliseconds ?? DEFAULT_FIRST_PAUSE_MILLISECONDS;
    const longest =
      this.options.longestPauseMilliseconds ??
      DEFAULT_LONGEST_PAUSE_MILLISECONDS;
    const pause = Math.min(longest, first * 2 ** this.failedConnections);
    this.failedConnections++;
    this.pausedUntil = now + pause;
    this.recordBrokenRequest();
  }
}
