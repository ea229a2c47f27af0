import type {PeerIdentity, PeerMessageOf} from '../peers/mod.ts';
import {
  TokenBucket,
  type TokenBucketTerms,
  type TokenHold,
} from './token_bucket.ts';

/** Options of {@link TeamLender}. */
export interface TeamLenderOptions {
  team: string;
  /** Epoch of the team's lease under which tokens are lent. */
  epoch: number;
  terms: TokenBucketTerms;
  /** Monotonic time from which tokens accrue. */
  startsAt: number;
  /** View timeout T; a loan cannot be spent later than T after its grant. */
  viewTimeoutMilliseconds: number;
  /** Sends a grant; returns false if the host is not connected. */
  send: (hostId: string, grant: PeerMessageOf<'loan_grant'>) => boolean;
}

interface PendingRequest {
  readonly from: PeerIdentity;
  readonly request: PeerMessageOf<'loan_request'>;
  /** Time at which the borrower's first request began to wait. */
  readonly arrivedAt: number;
  readonly receivedAt: number;
}

// Loans expire at the borrower 10% before the lender counts them as spent, as a
// margin for clocks that run at different speeds.
const LOAN_LIFETIME_FRACTION = 0.9;
// A borrower repeats its request after a third of the view timeout, so an entry
// older than half of it belongs to a borrower that no longer runs.
const PENDING_LIFETIME_FRACTION = 0.5;
// Fraction of the level that one loan may take beyond the borrower's minimum,
// so that some tokens are left for the hosts that ask next.
const PREFETCH_FRACTION = 0.25;
// Smallest loan without a minimum, as a fraction of the burst. Without this
// bound, borrowers took every token as it accrued and used one message for a
// fraction of a token.
const MINIMUM_GRANT_FRACTION = 0.02;

/** Lends the tokens of one bucket to other hosts, longest wait first. */
export class TeamLender {
  readonly bucket: TokenBucket;
  readonly epoch: number;
  private pending: PendingRequest[] = [];
  private readonly loans = new Map<string, TokenHold>();

  constructor(private readonly options: TeamLenderOptions) {
    this.epoch = options.epoch;
    this.bucket = new TokenBucket(options.terms, options.startsAt);
  }

  /**
   * Arrival time of the oldest request that waits at a borrower; Infinity
   * without one.
   */
  get firstArrivedAt(): number {
    return this.pending[0]?.arrivedAt ?? Infinity;
  }

  /** Minimum tokens of the first pending loan request; 0 without one. */
  get firstMinimumTokens(): number {
    return this.pending[0]?.request.minimumTokens ?? 0;
  }

  /**
   * Sum of the minimum tokens of loan requests that arrived before `arrivedAt`.
   */
  pendingTokensBefore(arrivedAt: number): number {
    let sum = 0;
    for (const entry of this.pending) {
      if (entry.arrivedAt < arrivedAt) sum += entry.request.minimumTokens;
    }
    return sum;
  }

  /** Queues a borrower's request, replacing its previous one. */
  enqueue(
    from: PeerIdentity,
    request: PeerMessageOf<'loan_request'>,
    at: number,
  ): void {
    this.pending = this.pending.filter(entry => !sameProcess(entry.from, from));
    const arrivedAt = at - request.waitedMilliseconds;
    this.pending.push({from, request, arrivedAt, receivedAt: at});
    this.pending.sort((left, right) => left.arrivedAt - right.arrivedAt);
  }

  /** Removes requests that their borrowers have not repeated. */
  expirePending(at: number): void {
    const lifetime =
      this.options.viewTimeoutMilliseconds * PENDING_LIFETIME_FRACTION;
    this.pending = this.pending.filter(
      entry => at - entry.receivedAt < lifetime,
    );
  }

  /**
   * Grants the first pending request if the level covers its minimum.
   * The caller must check immediately before that this host may act.
   */
  grantFirst(at: number): PeerMessageOf<'loan_grant'> | undefined {
    const first = this.pending[0];
    if (
      first === undefined ||
      !this.bucket.canTake(first.request.minimumTokens)
    ) {
      return undefined;
    }
    this.pending.shift();
    const {minimumTokens, tokens} = first.request;
    const prefetch = this.bucket.level * PREFETCH_FRACTION;
    const amount = Math.max(minimumTokens, Math.min(tokens, prefetch));
    const {burstTokens, tokensPerSecond} = this.bucket.terms;
    const minimumGrant = Math.min(tokens, burstTokens * MINIMUM_GRANT_FRACTION);
    if (minimumTokens === 0 && amount < minimumGrant) {
      const missing = minimumGrant / PREFETCH_FRACTION - this.bucket.level;
      const wait = Math.max(1, (missing * 1000) / tokensPerSecond);
      this.sendWait(first.from, first.request, wait);
      return this.createGrant(first.request, 0, wait);
    }
    const hold = this.bucket.lend(
      amount,
      at + this.options.viewTimeoutMilliseconds,
    );
    const grant = this.createGrant(first.request, hold?.tokens ?? 0, 0);
    if (hold === undefined) return grant;
    if (this.options.send(first.from.hostId, grant)) {
      this.recordLoan(first.from, first.request.id, hold);
    } else {
      // The grant was not sent, so the borrower cannot spend it.
      this.bucket.refund(hold, hold.tokens);
    }
    return grant;
  }

  /** Whether a borrower's request is pending. */
  isPending(from: PeerIdentity, id: string): boolean {
    return this.pending.some(
      entry => sameProcess(entry.from, from) && entry.request.id === id,
    );
  }

  /** Sends a borrower the expected wait of its request. */
  sendWait(
    from: PeerIdentity,
    request: PeerMessageOf<'loan_request'>,
    retryAfterMilliseconds: number,
  ): void {
    const grant = this.createGrant(request, 0, retryAfterMilliseconds);
    this.options.send(from.hostId, grant);
  }

  /**
   * Credits the tokens that a borrower returns and ends its loan or request.
   */
  acceptReturn(
    from: PeerIdentity,
    message: PeerMessageOf<'loan_return'>,
    at: number,
  ): void {
    this.bucket.advance(at);
    this.pending = this.pending.filter(
      entry =>
        !sameProcess(entry.from, from) || entry.request.id !== message.id,
    );
    const hold = this.loans.get(loanKey(from, message.id));
    if (hold === undefined) return;
    this.bucket.refund(hold, message.tokens);
    this.bucket.endLoan(hold);
    if (hold.tokens <= 0) this.loans.delete(loanKey(from, message.id));
  }

  private recordLoan(from: PeerIdentity, id: string, hold: TokenHold): void {
    this.loans.set(loanKey(from, id), hold);
    // Entries are in the order of their grants. Removes the oldest ones that
    // have no tokens left.
    for (const [key, loan] of this.loans) {
      if (loan.tokens > 0) break;
      this.loans.delete(key);
    }
  }

  private createGrant(
    request: PeerMessageOf<'loan_request'>,
    tokens: number,
    retryAfterMilliseconds: number,
  ): PeerMessageOf<'loan_grant'> {
    return {
      kind: 'loan_grant',
      id: request.id,
      team: this.options.team,
      epoch: this.epoch,
      tokens,
      validForMilliseconds:
        this.options.viewTimeoutMilliseconds * LOAN_LIFETIME_FRACTION,
      retryAfterMilliseconds,
    };
  }
}

function loanKey(from: PeerIdentity, id: string): string {
  return `${from.hostId}/${from.incarnation}/${id}`;
}

function sameProcess(left: PeerIdentity, right: PeerIdentity): boolean {
  return left.hostId === right.hostId && left.incarnation === right.incarnation;
}
