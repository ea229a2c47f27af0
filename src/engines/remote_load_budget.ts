/** Options of {@link RemoteLoadBudget}. */
export interface RemoteLoadBudgetOptions {
  /** Loads that the weight store may start a second. */
  loadsPerSecond: number;
  /** Monotonic time from which loads may start. */
  startsAt: number;
}

/** Loads at once before measured load times say otherwise. */
const INITIAL_CONCURRENCY = 4;

/** Load time against the expected one from which the store counts as crowded. */
const CONGESTION_FACTOR = 1.15;

/** Span over which the platform counts starts of loads. */
const WINDOW_MILLISECONDS = 5000;

/**
 * Bounds loads from the weight store: their starts by its stated rate, and
 * those at once by what keeps each load at full speed. Beyond that, loads only
 * share the same bandwidth, and the first ones end later.
 */
export class RemoteLoadBudget {
  private readonly starts: number[] = [];
  private running = 0;
  private concurrency = INITIAL_CONCURRENCY;

  constructor(private readonly options: RemoteLoadBudgetOptions) {}

  /** Loads that run now. */
  get active(): number {
    return this.running;
  }

  /** Loads that may start now. */
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

  /** Notes that a load has started. */
  begin(now: number): void {
    this.starts.push(now);
    this.running++;
  }

  /** Notes that a load has ended, and how long it took. */
  end(tookMilliseconds: number, expectedMilliseconds: number): void {
    this.running = Math.max(0, this.running - 1);
    const isCongested =
      tookMilliseconds > expectedMilliseconds * CONGESTION_FACTOR;
    if (isCongested) this.concurrency = Math.max(1, this.concurrency - 1);
  }

  /** Notes that a load was given up or its engine has gone. */
  abandon(): void {
    this.running = Math.max(0, this.running - 1);
  }
}
