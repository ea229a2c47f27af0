/** Options of {@link RemoteLoadBudget}. */
export interface RemoteLoadBudgetOptions {
  /** Loads from the weight store that may start per second. */
  loadsPerSecond: number;
  /** Monotonic time from which loads may start. */
  startsAt: number;
}

/** Concurrent loads until measured load times indicate congestion. */
const INITIAL_CONCURRENCY = 4;

/** Ratio of actual to expected load time above which the store is congested. */
const CONGESTION_FACTOR = 1.15;

/** Window over which the platform counts starts of loads. */
const WINDOW_MILLISECONDS = 5000;

/**
 * Limits loads from the weight store: the rate of starts to the configured
 * rate, and the number of concurrent loads to what the store serves at full
 * speed. Further loads would only share its bandwidth and delay the earlier
 * ones.
 */
export class RemoteLoadBudget {
  private readonly starts: number[] = [];
  private running = 0;
  private concurrency = INITIAL_CONCURRENCY;

  constructor(private readonly options: RemoteLoadBudgetOptions) {}

  /** Number of loads in progress. */
  get active(): number {
    return this.running;
  }

  /** Number of loads that may start now. */
  allowed(now: number): number {
    if (now < this.options.startsAt) return 0;
    while (
      this.starts.length > 0 &&
      (this.starts[0] ?? 0) < now - WINDOW_MILLISECONDS
    ) {
      this.starts.shift();
    }
    const perWindow = Math.floor(
      (this.options.loadsPerSecond * WINDOW_MILLISECONDS) / 1000,
    );
    return Math.max(
      0,
      Math.min(this.concurrency - this.running, perWindow - this.starts.length),
    );
  }

  /** Records the start of a load. */
  begin(now: number): void {
    this.starts.push(now);
    this.running++;
  }

  /** Records the end of a load; a slow load lowers the concurrency limit. */
  end(tookMilliseconds: number, expectedMilliseconds: number): void {
    this.running = Math.max(0, this.running - 1);
    const isCongested =
      tookMilliseconds > expectedMilliseconds * CONGESTION_FACTOR;
    if (isCongested) this.concurrency = Math.max(1, this.concurrency - 1);
  }

  /** Records that a load was abandoned or its engine is gone. */
  abandon(): void {
    this.running = Math.max(0, this.running - 1);
  }
}
