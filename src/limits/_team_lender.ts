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
  /** View timeout T: time after a grant at which no loan can be spent. */
  viewTimeoutMilliseconds: number;
  /** Sends a grant; false when there is no link. */
  send: (hostId: string, grant: PeerMessageOf<'loan_grant'>) => boolean;
}

interface PendingRequest {
  readonly from: PeerIdentity;
  readonly request: PeerMessageOf<'loan_request'>;
  /** Time at which the borrower's first request began to wait. */
  readonly arrivedAt: number;
  readonly receivedAt: number;
}

// Ends 10% before the owner counts the loan as spent, as a margin for clocks
// that run at different speeds.
const LOAN_LIFETIME_FRACTION = 0.9;
// A borrower asks again after a third of the view timeout, so an entry older
// than half of it belongs to a borrower that is gone.
const PENDING_LIFETIME_FRACTION = 0.5;
// Share of the level that one loan may take beyond what waits at the borrower,
// so that a low level is left to the hosts that ask next.
const PREFETCH_FRACTION = 0.25;
// Without a minimum, borrowers took every token as it accrued, at one message
// for a fraction of a token.
const MINIMUM_GRANT_FRACTION = 0.02;

/** Lends the tokens of one bucket to other hosts, in order of waiting time. */
export class TeamLender {
  readonly bucket: TokenBucket;
  readonly epoch: number;
  private pending: PendingRequest[] = [];
  private readonly loans = new Map<string, TokenHold>();

  constructor(private readonly options: TeamLenderOptions) {
    this.epoch = options.epoch;
    this.bucket = new TokenBucket(options.terms, options.startsAt);
  }

  /** Time at which the first waiting request of a borrower arrived. */
  get firstArrivedAt(): number {
    return this.pending[0]?.arrivedAt ?? Infinity;
  }

  /** Tokens for which the first borrower waits; 0 without one. */
  get firstMinimumTokens(): number {
    return this.pending[0]?.request.minimumTokens ?? 0;
  }

  /** Tokens for which borrowers wait that arrived before `arrivedAt`. */
  pendingTokensBefore(arrivedAt: number): number {
    let sum = 0;
    for (const entry of this.pending) {
      if (entry.arrivedAt < arrivedAt) sum += entry.request.minimumTokens;
    }
    return sum;
  }

  /** Queues a borrower's request in place of its former one. */
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

  /** Drops requests of borrowers that no longer ask. */
  expirePending(at: number): void {
    const lifetime =
      this.options.viewTimeoutMilliseconds * PENDING_LIFETIME_FRACTION;
    this.pending = this.pending.filter(
      entry => at - entry.receivedAt < lifetime,
    );
  }

  /**
   * Grants the first pending request when the level covers its minimum.
   * The caller checks the authority to act immediately before.
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
      // Nothing was sent, so nothing can be spent.
      this.bucket.refund(hold, hold.tokens);
    }
    return grant;
  }

  /** Whether a request waits for tokens. */
  isPending(from: PeerIdentity, id: string): boolean {
    return this.pending.some(
      entry => sameProcess(entry.from, from) && entry.request.id === id,
    );
  }

  /** Tells a borrower how long its pending request has to wait. */
  sendWait(
    from: PeerIdentity,
    request: PeerMessageOf<'loan_request'>,
    retryAfterMilliseconds: number,
  ): void {
    const grant = this.createGrant(request, 0, retryAfterMilliseconds);
    this.options.send(from.hostId, grant);
  }

  /** Takes back what a borrower did not use; ends the loan or the request. */
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
    // Entries are in order of their grant; the spent ones in front are of no
    // further use.
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
