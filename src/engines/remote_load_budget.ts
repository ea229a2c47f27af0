/** Options of {@link RemoteLoadBudget}. */
export interface RemoteLoadBudgetOptions {
  /** Loads from the weight store that may start per second. */
  loadsPerSecond: number;
  /** Monotonic time from which loads may start. */
  startsAt: number;
}

/** Concurrent loads until measured load times show what the store serves. */
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
  /** Number of loads in progress at the start of each of them, oldest first. */
  private readonly loads: {readonly parallel: number; isOutdated: boolean}[] =
    [];
  private concurrency = INITIAL_CONCURRENCY;
  /** Whether a load was slow, so that the limit of the store is known. */
  private hasBeenCongested = false;

  constructor(private readonly options: RemoteLoadBudgetOptions) {}

  /** Number of loads in progress. */
  get active(): number {
    return this.loads.length;
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
      Math.min(this.concurrency - this.active, perWindow - this.starts.length),
    );
  }

  /** Records the start of a load. */
  begin(now: number): void {
    this.starts.push(now);
    this.loads.push({parallel: this.active + 1, isOutdated: false});
  }

  /**
   * Records the end of a load. When as many loads run as are allowed, a slow one
   * shows how many the store serves at full speed, since each further one slows
   * all down in proportion. Until one is slow, one more load at a time is tried.
   */
  end(tookMilliseconds: number, expectedMilliseconds: number): void {
    const parallel = this.active;
    const load = this.loads.shift();
    const slowdown = tookMilliseconds / expectedMilliseconds;
    if (slowdown > CONGESTION_FACTOR) {
      // Loads that began before the limit was lowered were slow for that reason.
      if (load === undefined || load.isOutdated) return;
      const highest = Math.max(parallel, load.parallel);
      const lower =
        highest >= this.concurrency
          ? Math.round(highest / slowdown)
          : this.concurrency - 1;
      this.concurrency = Math.max(1, Math.min(lower, this.concurrency - 1));
      this.hasBeenCongested = true;
      for (const other of this.loads) other.isOutdated = true;
    } else if (!this.hasBeenCongested && parallel >= this.concurrency) {
      this.concurrency++;
    }
  }

  /** Records that a load was abandoned or its engine is gone. */
  abandon(): void {
    this.loads.pop();
  }
}
