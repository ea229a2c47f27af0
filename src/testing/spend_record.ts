/** Tokens of one reservation as an outside observer counts them. */
export interface SpendEvent {
  readonly at: number;
  readonly reserved: number;
  /** Time of the settlement; Infinity before it. */
  settledAt: number;
  unused: number;
}

interface TermsFrom {
  readonly from: number;
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
}

/** An interval in which more was spent than the contract allows. */
export interface BoundViolation {
  readonly from: number;
  readonly until: number;
  readonly spent: number;
  readonly allowed: number;
}

// Absorbs rounding of fractional refills.
const TOLERANCE_TOKENS = 1e-3;

/**
 * Naive oracle of the token bound: a list of spend events that is checked over
 * all intervals between two events. Changed terms may reach hosts with a delay
 * of at most `lagMilliseconds`, for which the more generous terms count.
 * Development only.
 */
export class SpendRecord {
  readonly events: SpendEvent[] = [];
  private readonly terms: TermsFrom[] = [];

  constructor(private readonly lagMilliseconds: number) {}

  /** Notes terms in force from a time on; 0 and 0 after a contract's end. */
  setTerms(from: number, tokensPerSecond: number, burstTokens: number): void {
    this.terms.push({from, tokensPerSecond, burstTokens});
  }

  /** Counts a reservation at the moment of its admission. */
  spend(at: number, reserved: number): SpendEvent {
    const event = {at, reserved, settledAt: Infinity, unused: 0};
    this.events.push(event);
    return event;
  }

  /** Worst interval that exceeds the bound, as seen at any moment. */
  findViolation(): BoundViolation | undefined {
    let worst: BoundViolation | undefined;
    for (let last = 0; last < this.events.length; last++) {
      const until = this.events[last]!.at;
      let spent = 0;
      for (let first = last; first >= 0; first--) {
        const event = this.events[first]!;
        spent += event.reserved;
        if (event.settledAt <= until) spent -= event.unused;
        const allowed = this.allowed(event.at, until);
        const excess = spent - allowed;
        if (excess <= TOLERANCE_TOKENS) continue;
        if (worst === undefined || excess > worst.spent - worst.allowed) {
          worst = {from: event.at, until, spent, allowed};
        }
      }
    }
    return worst;
  }

  private allowed(from: number, until: number): number {
    let burst = 0;
    let refill = 0;
    for (const [index, terms] of this.terms.entries()) {
      const endsAt = this.terms[index + 1]?.from ?? Infinity;
      if (terms.from <= from && endsAt + this.lagMilliseconds > from) {
        burst = Math.max(burst, terms.burstTokens);
      }
    }
    const cuts = new Set([from, until]);
    for (const {from: change} of this.terms) {
      for (const cut of [change, change + this.lagMilliseconds]) {
        if (cut > from && cut < until) cuts.add(cut);
      }
    }
    const sorted = [...cuts].sort((left, right) => left - right);
    for (let index = 1; index < sorted.length; index++) {
      const start = sorted[index - 1]!;
      refill += (this.rateAt(start) * (sorted[index]! - start)) / 1000;
    }
    return burst + refill;
  }

  private rateAt(at: number): number {
    let rate = 0;
    for (const [index, terms] of this.terms.entries()) {
      const endsAt = this.terms[index + 1]?.from ?? Infinity;
      if (terms.from <= at && endsAt + this.lagMilliseconds > at) {
        rate = Math.max(rate, terms.tokensPerSecond);
      }
    }
    return rate;
  }
}
