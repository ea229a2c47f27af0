/** Bucket borders grow by this factor, from 0.1 s. */
const BUCKET_GROWTH_FACTOR = 1.5;
const FIRST_BOUND_MILLISECONDS = 100;
/** Up to about 15 hours. */
const BUCKET_COUNT = 33;
/** Weight of old gaps after each new one, so that the history adapts. */
const DECAY_FACTOR = 0.97;

/** Gap of the prior: models without a history are used rarely. */
const PRIOR_WEIGHT = 1;

/**
 * Distribution of the gaps between uses of one target, in buckets that grow
 * geometrically.
 */
export class IdleGapHistogram {
  private readonly weights: number[];
  private lastUseAt: number | undefined;

  constructor() {
    // A flat prior over buckets is a heavy-tailed distribution of gaps.
    this.weights = Array.from(
      {length: BUCKET_COUNT},
      () => PRIOR_WEIGHT / BUCKET_COUNT,
    );
  }

  /** Time of the last use; undefined before the first. */
  get lastUsedAt(): number | undefined {
    return this.lastUseAt;
  }

  /** Records a use that began after an idle time. */
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

  /** Extends a use that is still going on; no gap is recorded. */
  extendUse(now: number): void {
    this.lastUseAt = now;
  }

  /**
   * Probability that a use comes within the next `horizon` milliseconds after
   * `idle` milliseconds without one, and the expected time until the use or
   * the horizon, whichever is earlier.
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
      // Part of the bucket that an idle time within it has not ruled out.
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
