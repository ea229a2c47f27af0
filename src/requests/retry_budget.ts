/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries earned by each request. @default 0.2 */
  share?: number;
  /** Most retries saved up, and the number at the start. @default 20 */
  capacity?: number;
}

/** Bounds retries to a share of requests, so that they don't add to an overload. */
export class RetryBudget {
  private readonly share: number;
  private readonly capacity: number;
  private available: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.share = options.share ?? 0.2;
    this.capacity = options.capacity ?? 20;
    this.available = this.capacity;
  }

  /** Counts a request that was sent for the first time. */
  deposit(): void {
    this.available = Math.min(this.capacity, this.available + this.share);
  }

  /** Takes one retry; false when none is left. */
  tryWithdraw(): boolean {
    if (this.available < 1) return false;
    this.available--;
    return true;
  }
}
