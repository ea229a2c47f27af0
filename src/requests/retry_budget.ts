/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries earned by each request. @default 0.2 */
  share?: number;
  /** Maximum and initial balance of retries. @default 20 */
  capacity?: number;
}

/** Limits retries to a share of requests, so that they do not amplify an overload. */
export class RetryBudget {
  private readonly share: number;
  private readonly capacity: number;
  private available: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.share = options.share ?? 0.2;
    this.capacity = options.capacity ?? 20;
    this.available = this.capacity;
  }

  /** Credits the retry share of a new request. */
  deposit(): void {
    this.available = Math.min(this.capacity, this.available + this.share);
  }

  /** Withdraws one retry; false if none is left. */
  tryWithdraw(): boolean {
    if (this.available < 1) return false;
    this.available--;
    return true;
  }
}
