/** Ratio of successive bucket bounds; the first bound is 0.1 s. */
const BUCKET_GROWTH_FACTOR = 1.5;
const FIRST_BOUND_MILLISECONDS = 100;
/** Covers gaps of up to about 15 hours. */
const BUCKET_COUNT = 33;
/** Factor on older gaps at each new one, so that recent gaps dominate. */
const DECAY_FACTOR = 0.97;

/** Total weight of the prior, for targets that have no recorded gaps yet. */
const PRIOR_WEIGHT = 1;

/**
 * Decaying histogram of the idle times between uses of one target, with
 * geometrically growing buckets.
 */
export class IdleGapHistogram {
  private readonly weights: number[];
  private lastUseAt: number | undefined;

  constructor() {
    // Equal weights in geometric buckets give a heavy-tailed prior: a target
    // without a history is assumed to be used rarely.
    this.weights = Array.from(
      {length: BUCKET_COUNT},
      () => PRIOR_WEIGHT / BUCKET_COUNT,
    );
  }

  /** Monotonic time of the last use; undefined before the first. */
  get lastUsedAt(): number | undefined {
    return this.lastUseAt;
  }

  /** Records the start of a use, and the idle time before it as a gap. */
  recordUse(now: number): void {
    if (this.lastUseAt !== undefined && now > this.lastUseAt) {
      const bucket = bucketOf(now - this.lastUseAt);
      for (let index = 0; index < BUCKET_COUNT; index++) {
        this.weights[index]! *= DECAY_FACTOR;
      }
      this.weights[bucket]! += 1;
    }
    this.lastUseAt = now;
  }

  /** Records that a use continues, without recording a gap. */
  extendUse(now: number): void {
    this.lastUseAt = now;
  }

  /**
   * Estimates the next use of a target that has been idle for `idle`
   * milliseconds: the probability that it comes within `horizon` milliseconds,
   * and the expected time until the use or the end of the horizon, whichever
   * is earlier.
   */
  predictUse(
    idle: number,
    horizon: number,
  ): {probability: number; expectedMilliseconds: number} {
    let total = 0;
    let hit = 0;
    let time = 0;
    for (let index = 0; index < BUCKET_COUNT; index++) {
      const gap = midpointOf(index);
      // Counts only the part of the bucket that lies beyond the idle time.
      const weight = this.weights[index]! * shareBeyond(index, idle);
      if (weight === 0) continue;
      total += weight;
      const remaining = Math.max(0, gap - idle);
      if (remaining <= horizon) hit += weight;
      time += weight * Math.min(remaining, horizon);
    }
    if (total === 0) return {probability: 0, expectedMilliseconds: horizon};
    return {probability: hit / total, expectedMilliseconds: time / total};
  }
}

function bucketOf(gap: number): number {
  const index = Math.ceil(
    Math.log(Math.max(1, gap / FIRST_BOUND_MILLISECONDS)) /
      Math.log(BUCKET_GROWTH_FACTOR),
  );
  return Math.min(BUCKET_COUNT - 1, index);
}

function upperBound(index: number): number {
  return FIRST_BOUND_MILLISECONDS * BUCKET_GROWTH_FACTOR ** index;
}

function midpointOf(index: number): number {
  return upperBound(index) / Math.sqrt(BUCKET_GROWTH_FACTOR);
}

function shareBeyond(index: number, idle: number): number {
  const upper = upperBound(index);
  if (idle >= upper) return 0;
  const lower = index === 0 ? 0 : upperBound(index - 1);
  if (idle <= lower) return 1;
  return (upper - idle) / (upper - lower);
}
