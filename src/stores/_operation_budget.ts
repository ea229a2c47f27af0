import type {Clock} from '../time/mod.ts';

/**
 * Token bucket that limits the rate of operations. An operation larger than the
 * burst may make the number of available operations negative.
 */
export class OperationBudget {
  private available: number;
  private refilledAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly operationsPerSecond: number,
    private readonly burst: number,
  ) {
    this.available = burst;
    this.refilledAt = clock.monotonicMilliseconds();
  }

  /**
   * Takes operations from the bucket if enough are available.
   *
   * @returns 0 if they were taken, otherwise the milliseconds to wait.
   */
  tryTake(operations: number): number {
    this.refill();
    // An operation larger than the burst only needs a full bucket; otherwise it
    // could never run.
    const needed = Math.min(operations, this.burst);
    if (this.available < needed) {
      return Math.ceil(
        ((needed - this.available) * 1000) / this.operationsPerSecond,
      );
    }
    this.available -= operations;
    return 0;
  }

  /** Deducts operations that have already run, without a check. */
  charge(operations: number): void {
    this.refill();
    this.available -= operations;
  }

  private refill(): void {
    const now = this.clock.monotonicMilliseconds();
    const refilled =
      ((now - this.refilledAt) * this.operationsPerSecond) / 1000;
    this.available = Math.min(this.burst, this.available + refilled);
    this.refilledAt = now;
  }
}
