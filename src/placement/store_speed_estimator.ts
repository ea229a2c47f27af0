/** Weight of a new measurement. */
const SMOOTHING_FACTOR = 0.5;
const MINIMUM_SPEED = 0.01;

/** Least progress from which a speed is computed. */
const MINIMUM_PROGRESS = 0.02;

interface Sample {
  readonly at: number;
  readonly progress: number;
}

/**
 * Speed of the weight store relative to the expected one, measured from the
 * progress of loads, so that a slow store is noticed before a load ends.
 */
export class StoreSpeedEstimator {
  private readonly samples = new Map<string, Sample>();
  private value = 1;

  /** 1 at full speed, 0.1 at a tenth. */
  get speed(): number {
    return this.value;
  }

  /** Records the progress of a load whose full-speed time is known. */
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

  /** Records that a load ended after `milliseconds`. */
  recordFinished(
    orderId: string,
    milliseconds: number,
    expectedMilliseconds: number,
  ): void {
    this.samples.delete(orderId);
    this.add(expectedMilliseconds / Math.max(1, milliseconds));
  }

  /** Forgets a load that failed. */
  discard(orderId: string): void {
    this.samples.delete(orderId);
  }

  private add(measured: number): void {
    const bounded = Math.min(1, Math.max(MINIMUM_SPEED, measured));
    this.value += (bounded - this.value) * SMOOTHING_FACTOR;
  }
}
