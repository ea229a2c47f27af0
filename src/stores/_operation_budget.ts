import type {Clock} from '../time/mod.ts';

/** Token bucket of operations; a large operation may leave it in debt. */
export class OperationBudget {
  private level: number;
  private filledAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly operationsPerSecond: number,
    private readonly burst: number,
  ) {
    this.level = burst;
    this.filledAt = clock.monotonicMilliseconds();
  }

  /**
   * Takes operations when the bucket is not in debt.
   *
   * @returns 0 when they were taken, else milliseconds until they can be.
   */
  take(operations: number): number {
    this.fill();
    // An operation larger than the burst needs a full bucket.
    const needed = Math.min(operations, this.burst);
    if (this.level < needed) {
      return Math.ceil(
        ((needed - this.level) * 1000) / this.operationsPerSecond,
      );
    }
    this.level -= operations;
    return 0;
  }

  /** Takes operations that were spent already. */
  charge(operations: number): void {
    this.fill();
    this.level -= operations;
  }

  private fill(): void {
    const now = this.clock.monotonicMilliseconds();
    const gained = ((now - this.filledAt) * this.operationsPerSecond) / 1000;
    this.level = Math.min(this.burst, this.level + gained);
    this.filledAt = now;
  }
}
