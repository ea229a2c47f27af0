import {GOLDEN_FRACTION} from './_golden_fraction.ts';

/** When a refused caller can return; times are monotonic. */
export interface ReturnTerms {
  readonly now: number;
  /** Time at which room is expected for the caller. */
  readonly roomAt: number;
  /** Latest time that is of use to the caller. */
  readonly latestAt: number;
  /** Milliseconds between two places that become free. */
  readonly intervalMilliseconds: number;
}

/** Share of the time left to a caller after which it retries at the latest. */
export const RETURN_SHARE = 1 / 3;

/** Maximum number of targets; the least recently added is dropped. */
const MAXIMUM_TARGETS = 1000;

interface Returns {
  /** Time at which the next refused caller returns. */
  nextAt: number;
  refused: number;
}

/**
 * Tells refused callers when to return. For overload, in which callers that are all told
 * the same time come back together and are refused again: they return one by one as
 * places become free. When there are more callers than places within their time, their
 * returns are spread over it.
 */
export class ReturnSchedule {
  private readonly targets = new Map<string, Returns>();

  /** Returns the milliseconds after which a caller is told to return. */
  take(target: string, terms: ReturnTerms): number {
    const {now, intervalMilliseconds} = terms;
    const returns = this.returnsOf(target);
    returns.refused++;
    const latestAt = Math.max(now + 1, terms.latestAt);
    const earliestAt = Math.max(terms.roomAt, now + 1);
    const at = Math.max(earliestAt, returns.nextAt);
    if (at <= latestAt) {
      returns.nextAt = at + intervalMilliseconds;
      return at - now;
    }
    const from = Math.min(earliestAt, (now + latestAt) / 2);
    const part = (returns.refused * GOLDEN_FRACTION) % 1;
    return Math.max(1, from + part * (latestAt - from) - now);
  }

  private returnsOf(target: string): Returns {
    let returns = this.targets.get(target);
    if (returns === undefined) {
      const [oldest] = this.targets.keys();
      if (this.targets.size >= MAXIMUM_TARGETS && oldest !== undefined)
        this.targets.delete(oldest);
      returns = {nextAt: Number.NEGATIVE_INFINITY, refused: 0};
      this.targets.set(target, returns);
    }
    return returns;
  }
}
