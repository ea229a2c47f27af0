/** Weight of a new measurement in the exponential moving average. */
const SMOOTHING_FACTOR = 0.5;
const MINIMUM_SPEED = 0.01;

/** Minimum progress between two samples from which a speed is computed. */
const MINIMUM_PROGRESS = 0.02;

interface Sample {
  readonly at: number;
  readonly progress: number;
}

/**
 * Estimates the speed of the weight store relative to full speed. It measures
 * the progress of running loads, so that a slow store is noticed before a load
 * ends.
 */
export class StoreSpeedEstimator {
  private readonly samples = new Map<string, Sample>();
  private value = 1;

  /** Fraction of full speed, from 0.01 to 1. */
  get speed(): number {
    return this.value;
  }

  /**
   * Records the progress of a load.
   *
   * @param progress Completed fraction, from 0 to 1.
   * @param expectedMilliseconds Load time at full speed.
   */
  recordProgress(
    orderId: string,
    progress: number,
    expectedMilliseconds: number,
    now: number,
  ): void {
    const last = this.samples.get(orderId);
    if (last === undefined) {
      this.samples.set(orderId, {at: now, progress});
      return;
    }
    const elapsed = now - last.at;
    const gained = progress - last.progress;
    if (elapsed < expectedMilliseconds * 0.1) return;
    if (gained < MINIMUM_PROGRESS && elapsed < expectedMilliseconds) return;
    this.samples.set(orderId, {at: now, progress});
    this.add((gained * expectedMilliseconds) / elapsed);
  }

  /** Records that a load completed in `milliseconds`. */
  recordFinished(
    orderId: string,
    milliseconds: number,
    expectedMilliseconds: number,
  ): void {
    this.samples.delete(orderId);
    this.add(expectedMilliseconds / Math.max(1, milliseconds));
  }

  /** Discards the samples of a failed load. */
  discard(orderId: string): void {
    this.samples.delete(orderId);
  }

  private add(measured: number): void {
    const bounded = Math.min(1, Math.max(MINIMUM_SPEED, measured));
    this.value += (bounded - this.value) * SMOOTHING_FACTOR;
  }
}
