// Time constant of the moving average. One second is long enough for a stable
// value at a few requests per second, and short enough to follow a burst.
const AVERAGING_MILLISECONDS = 1000;

/**
 * Exponential moving average of the tokens that requests ask for per second.
 */
export class DemandMeter {
  private sum = 0;
  private updatedAt = 0;

  /** Adds the tokens that a request asks for. */
  add(tokens: number, at: number): void {
    this.decay(at);
    this.sum += tokens;
  }

  /** Average demand in tokens per second. */
  perSecond(at: number): number {
    this.decay(at);
    return (this.sum * 1000) / AVERAGING_MILLISECONDS;
  }

  private decay(at: number): void {
    const passed = Math.max(0, at - this.updatedAt);
    this.sum *= Math.exp(-passed / AVERAGING_MILLISECONDS);
    this.updatedAt = at;
  }
}
