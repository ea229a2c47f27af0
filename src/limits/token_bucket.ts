/** Rate and burst of a token bucket. */
export interface TokenBucketTerms {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
}

/** Tokens taken from a {@link TokenBucket} that may still be refunded. */
export interface TokenHold {
  /**
   * `lent`: may still be spent by a borrower. `unsettled`: spent, may be
   * refunded.
   */
  readonly state: 'lent' | 'unsettled';
  /** Tokens that may still be spent or refunded. */
  readonly tokens: number;
}

interface Hold {
  state: 'lent' | 'unsettled';
  tokens: number;
  /** Time at which a lent amount can no longer be spent. */
  readonly expiresAt: number;
}

// Tolerance for rounding errors in sums of fractional token amounts.
const ROUNDING_TOLERANCE = 1e-6;
// Decay of the sums of taken and refunded tokens per amount taken. The sums
// cover about the latest 50 amounts.
const RECENT_DECAY = 0.98;

/**
 * Token bucket of one team with support for loans and refunds. It does not
 * depend on hosts or messages.
 *
 * Invariant: `level + lent + unsettled <= burst`, except for amounts that were
 * lent before the burst was lowered. The tokens that can be spent after any
 * point in time are therefore at most the burst plus the later refill, which
 * gives the bound for every interval.
 *
 * If the sum has reached the burst, refill replaces the oldest unsettled
 * amounts. The team thus keeps accruing tokens at its rate during long
 * requests. The later refund of these requests is reduced by the same amount,
 * so it never raises the level above what it would have been without them.
 */
export class TokenBucket {
  private available = 0;
  private rate: number;
  private burst: number;
  /**
   * In the order of expiry, since all loans of a bucket have the same lifetime.
   */
  private readonly lentHolds = new Set<Hold>();
  /** In the order of spending. */
  private readonly unsettledHolds = new Set<Hold>();
  private takenRecently = 0;
  private returnedRecently = 0;
  private lentTotal = 0;
  private unsettledTotal = 0;

  /**
   * Creates an empty bucket.
   *
   * @param terms Rate and burst.
   * @param updatedAt Monotonic time from which tokens accrue; may be in the future.
   */
  constructor(
    terms: TokenBucketTerms,
    private updatedAt: number,
  ) {
    this.rate = terms.tokensPerSecond;
    this.burst = terms.burstTokens;
  }

  /** Tokens that can be taken now. */
  get level(): number {
    return this.available;
  }

  /** Tokens that borrowers may still spend. */
  get lent(): number {
    return this.lentTotal;
  }

  /** Spent tokens that may still be refunded. */
  get unsettled(): number {
    return this.unsettledTotal;
  }

  /**
   * Estimate of the outstanding tokens that will be refunded, based on recent
   * refunds.
   */
  get expectedReturns(): number {
    if (this.takenRecently <= 0) return 0;
    const share = Math.min(1, this.returnedRecently / this.takenRecently);
    return share * (this.lentTotal + this.unsettledTotal);
  }

  /** Current rate and burst. */
  get terms(): TokenBucketTerms {
    return {tokensPerSecond: this.rate, burstTokens: this.burst};
  }

  /** Time up to which refill has been added, or at which the bucket starts. */
  get refilledUntil(): number {
    return this.updatedAt;
  }

  /**
   * Adds the refill and ends the expired loans up to `at`, in the order of
   * time.
   */
  advance(at: number): void {
    for (;;) {
      const next = this.nextExpiry(at);
      if (next === undefined) break;
      // Refill that found no room because of a lent amount is not added later,
      // since the borrower may have spent that amount just before its expiry.
      this.refillUntil(next.expiresAt);
      this.endLoan(next);
    }
    this.refillUntil(at);
  }

  /** Lets a bucket that would start later start to accrue at `at`. */
  startNoLaterThan(at: number): void {
    this.updatedAt = Math.min(this.updatedAt, at);
  }

  /** Applies a changed rate and burst from `at` on. */
  reconfigure(terms: TokenBucketTerms, at: number): void {
    this.advance(at);
    this.rate = terms.tokensPerSecond;
    this.burst = terms.burstTokens;
    this.enforceBurst();
  }

  /** Whether `tokens` can be taken now. */
  canTake(tokens: number): boolean {
    return tokens <= this.available + ROUNDING_TOLERANCE;
  }

  /** Spends tokens, the unused part of which may be refunded. */
  take(tokens: number): TokenHold | undefined {
    return this.createHold(tokens, 'unsettled', Infinity);
  }

  /** Debits tokens that a borrower may spend until `expiresAt`. */
  lend(tokens: number, expiresAt: number): TokenHold | undefined {
    return this.createHold(tokens, 'lent', expiresAt);
  }

  /** Counts a lent amount as spent; its unused part may still be refunded. */
  endLoan(hold: TokenHold): void {
    const known = this.find(hold);
    if (known === undefined || known.state === 'unsettled') return;
    this.lentHolds.delete(known);
    this.lentTotal -= known.tokens;
    known.state = 'unsettled';
    this.unsettledHolds.add(known);
    this.unsettledTotal += known.tokens;
    this.deleteIfEmpty(known);
  }

  /**
   * Refunds up to the remaining amount of the hold; returns the amount
   * refunded.
   */
  refund(hold: TokenHold, tokens: number): number {
    const known = this.find(hold);
    if (known === undefined) return 0;
    const returned = Math.max(0, Math.min(tokens, known.tokens));
    this.reduce(known, returned);
    this.returnedRecently += returned;
    // If the burst was lowered in the meantime, the refund may not fit.
    const room =
      this.burst - this.available - this.lentTotal - this.unsettledTotal;
    this.available += Math.max(0, Math.min(returned, room));
    return returned;
  }

  /** Ends a hold without a refund of its remaining tokens. */
  release(hold: TokenHold): void {
    const known = this.find(hold);
    if (known !== undefined) this.reduce(known, known.tokens);
  }

  private createHold(
    tokens: number,
    state: Hold['state'],
    expiresAt: number,
  ): Hold | undefined {
    if (!this.canTake(tokens)) return undefined;
    const taken = Math.min(tokens, this.available);
    this.available -= taken;
    const hold: Hold = {state, tokens: taken, expiresAt};
    this.holdsOf(state).add(hold);
    this.takenRecently = this.takenRecently * RECENT_DECAY + taken;
    this.returnedRecently *= RECENT_DECAY;
    if (state === 'lent') this.lentTotal += taken;
    else this.unsettledTotal += taken;
    return hold;
  }

  private refillUntil(at: number): void {
    if (at <= this.updatedAt) return;
    this.enforceBurst();
    const earned = (this.rate * (at - this.updatedAt)) / 1000;
    this.updatedAt = at;
    const room = Math.max(
      0,
      this.burst - this.available - this.lentTotal - this.unsettledTotal,
    );
    const direct = Math.min(earned, room);
    this.available += direct + this.displaceUnsettled(earned - direct);
  }

  /**
   * Discards tokens that exceed a lowered burst. Lent amounts cannot be
   * revoked; what is left of them is discarded when their loans end.
   */
  private enforceBurst(): void {
    let excess =
      this.available + this.lentTotal + this.unsettledTotal - this.burst;
    if (excess <= 0) return;
    excess -= this.displaceUnsettled(excess);
    this.available = Math.max(0, this.available - excess);
  }

  /**
   * Reduces the oldest unsettled amounts to make room; returns the room made.
   */
  private displaceUnsettled(tokens: number): number {
    let wanted = tokens;
    for (const hold of this.unsettledHolds) {
      if (wanted <= 0) break;
      const part = Math.min(wanted, hold.tokens);
      this.reduce(hold, part);
      wanted -= part;
    }
    return tokens - Math.max(0, wanted);
  }

  private reduce(hold: Hold, tokens: number): void {
    hold.tokens -= tokens;
    if (hold.state === 'lent') this.lentTotal -= tokens;
    else this.unsettledTotal -= tokens;
    this.deleteIfEmpty(hold);
  }

  private deleteIfEmpty(hold: Hold): void {
    if (hold.tokens <= 0) this.holdsOf(hold.state).delete(hold);
    // Removes rounding errors when the exact sums are known to be zero.
    if (this.lentHolds.size === 0) this.lentTotal = 0;
    if (this.unsettledHolds.size === 0) this.unsettledTotal = 0;
  }

  private holdsOf(state: Hold['state']): Set<Hold> {
    return state === 'lent' ? this.lentHolds : this.unsettledHolds;
  }

  private nextExpiry(until: number): Hold | undefined {
    const [first] = this.lentHolds;
    return first !== undefined && first.expiresAt <= until ? first : undefined;
  }

  private find(hold: TokenHold): Hold | undefined {
    const known = hold as Hold;
    return this.holdsOf(known.state).has(known) ? known : undefined;
  }
}
