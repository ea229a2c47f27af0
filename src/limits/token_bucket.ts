/** Size of a token bucket. */
export interface TokenBucketTerms {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
}

/** Tokens taken out of a {@link TokenBucket} that may still come back. */
export interface TokenHold {
  /** `lent`: may still be spent elsewhere. `unsettled`: may only come back. */
  readonly state: 'lent' | 'unsettled';
  /** Tokens that may still be spent or come back. */
  readonly tokens: number;
}

interface Hold {
  state: 'lent' | 'unsettled';
  tokens: number;
  /** Time at which a lent amount can no longer be spent. */
  readonly expiresAt: number;
}

// Absorbs the rounding of sums of fractional token amounts.
const ROUNDING_TOLERANCE = 1e-6;
// Weight of the past against the latest amount taken; covers about 50 amounts.
const RECENT_DECAY = 0.98;

/**
 * Accounting of one team's tokens; knows nothing of hosts or messages.
 *
 * At all times `level + lent + unsettled <= burst`, except for lent amounts
 * that were granted before the burst was lowered. What can be spent after any
 * moment is therefore at most the burst plus the later refill, which is the
 * bound on every interval. When the bucket is full in this sense, refill
 * replaces the oldest unsettled amounts: the team keeps earning its rate
 * during long requests, and their later refund shrinks by the same amount, so
 * that it never lifts the level above what it would have been without them.
 */
export class TokenBucket {
  private available = 0;
  private rate: number;
  private burst: number;
  /** In order of expiry, since every loan of a bucket has the same lifetime. */
  private readonly lentHolds = new Set<Hold>();
  /** In order of spending. */
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

  /** Spent tokens that a settlement may still give back. */
  get unsettled(): number {
    return this.unsettledTotal;
  }

  /** Tokens that will probably come back, judged by the latest refunds. */
  get expectedReturns(): number {
    if (this.takenRecently <= 0) return 0;
    const share = Math.min(1, this.returnedRecently / this.takenRecently);
    return share * (this.lentTotal + this.unsettledTotal);
  }

  /** Current rate and burst. */
  get terms(): TokenBucketTerms {
    return {tokensPerSecond: this.rate, burstTokens: this.burst};
  }

  /** Time until which the bucket is up to date, or at which it starts. */
  get refilledUntil(): number {
    return this.updatedAt;
  }

  /** Adds the refill until `at`, in the order of the expiries on the way. */
  advance(at: number): void {
    for (;;) {
      const next = this.nextExpiry(at);
      if (next === undefined) break;
      // Refill that a lent amount kept out before its expiry is not made up
      // for: the borrower may have spent it at the last moment.
      this.refillUntil(next.expiresAt);
      this.endLoan(next);
    }
    this.refillUntil(at);
  }

  /** Starts to accrue at `at` when the bucket was to start later. */
  startNoLaterThan(at: number): void {
    this.updatedAt = Math.min(this.updatedAt, at);
  }

  /** Applies a changed contract from `at` on. */
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

  /** Spends tokens whose unused part may come back. */
  take(tokens: number): TokenHold | undefined {
    return this.createHold(tokens, 'unsettled', Infinity);
  }

  /** Debits tokens that a borrower may spend until `expiresAt`. */
  lend(tokens: number, expiresAt: number): TokenHold | undefined {
    return this.createHold(tokens, 'lent', expiresAt);
  }

  /** Counts a lent amount as spent; its unused part may still come back. */
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

  /** Puts tokens back, as far as the hold still covers them. */
  refund(hold: TokenHold, tokens: number): number {
    const known = this.find(hold);
    if (known === undefined) return 0;
    const returned = Math.max(0, Math.min(tokens, known.tokens));
    this.reduce(known, returned);
    this.returnedRecently += returned;
    // A burst lowered in the meantime leaves no room for the whole refund.
    const room =
      this.burst - this.available - this.lentTotal - this.unsettledTotal;
    this.available += Math.max(0, Math.min(returned, room));
    return returned;
  }

  /** Ends a hold; nothing of it comes back any more. */
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
   * Gives up what a lowered burst does not cover. Lent amounts cannot be
   * recalled; what is left of them is given up when they end.
   */
  private enforceBurst(): void {
    let excess =
      this.available + this.lentTotal + this.unsettledTotal - this.burst;
    if (excess <= 0) return;
    excess -= this.displaceUnsettled(excess);
    this.available = Math.max(0, this.available - excess);
  }

  /** Makes room by giving up refunds; returns the room made. */
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
    // Removes rounding residue while the true sums are known to be zero.
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
