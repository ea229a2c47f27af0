import type {PeerMessageOf} from '../peers/mod.ts';

/** Tokens lent to this host. */
export interface Loan {
  readonly id: string;
  readonly lender: string;
  readonly epoch: number;
  /** Monotonic time from which the loan must not be spent. */
  readonly expiresAt: number;
  readonly acceptedAt: number;
  available: number;
  /** Whether this host has stopped spending from the loan. */
  closed: boolean;
  /** Refunded tokens that have not been returned to the lender yet. */
  unreportedRefund: number;
}

/** Options of {@link TeamBorrower}. */
export interface TeamBorrowerOptions {
  team: string;
  /** View timeout T, an upper bound on the lifetime of a loan. */
  viewTimeoutMilliseconds: number;
  /** Prefix that keeps request ids unique across restarts of the process. */
  idPrefix: string;
  /** Sends a message; returns false if the host is not connected. */
  send: (
    hostId: string,
    message: PeerMessageOf<'loan_request'> | PeerMessageOf<'loan_return'>,
  ) => boolean;
}

interface OpenRequest {
  readonly id: string;
  readonly epoch: number;
  readonly requestedAt: number;
  readonly minimumTokens: number;
  /**
   * Time at which the lender expects to grant the request, once it has replied.
   */
  expectedAt: number | undefined;
}

// Amount in the return of a loan whose size this host does not know. The lender
// limits it to the tokens that it lent.
const ENTIRE_LOAN = Number.MAX_SAFE_INTEGER;
// Fraction of the view timeout after which an unanswered request is repeated,
// because the grant was probably lost. About half of the view timeout then
// remains to spend the next loan.
const REQUEST_RETRY_FRACTION = 1 / 3;
// Upper bound on the lifetime of a loan as a fraction of the view timeout, no
// matter which lifetime the grant states.
const MAXIMUM_LOAN_FRACTION = 0.95;

/** Manages the loans of one team on this host and the requests for more. */
export class TeamBorrower {
  private readonly openRequests = new Map<string, OpenRequest>();
  private loans: Loan[] = [];
  private loansWithRefund = new Set<Loan>();
  private sequence = 0;

  constructor(private readonly options: TeamBorrowerOptions) {}

  /** Returns the number of borrowed tokens that can be spent in an epoch. */
  available(epoch: number, at: number): number {
    let sum = 0;
    for (const loan of this.usableLoans(epoch, at)) sum += loan.available;
    return sum;
  }

  /** Whether any loan, loan request or unreported refund is left. */
  get isActive(): boolean {
    return (
      this.loans.length > 0 ||
      this.openRequests.size > 0 ||
      this.loansWithRefund.size > 0
    );
  }

  /** Returns the time at which a lender expects to grant the open request. */
  expectedAt(lender: string): number | undefined {
    return this.openRequests.get(lender)?.expectedAt;
  }

  /** Spends from the loans that expire first; returns the parts taken. */
  take(
    tokens: number,
    epoch: number,
    at: number,
  ): {loan: Loan; tokens: number}[] {
    const parts = [];
    let wanted = tokens;
    for (const loan of this.usableLoans(epoch, at)) {
      if (wanted <= 0) break;
      const part = Math.min(wanted, loan.available);
      if (part <= 0) continue;
      loan.available -= part;
      wanted -= part;
      parts.push({loan, tokens: part});
    }
    return parts;
  }

  /** Refunds tokens that a request did not use. */
  refund(loan: Loan, tokens: number, epoch: number, at: number): void {
    if (tokens <= 0 || loan.epoch !== epoch) return;
    if (!loan.closed && at < loan.expiresAt) {
      loan.available += tokens;
      return;
    }
    loan.unreportedRefund += tokens;
    this.loansWithRefund.add(loan);
  }

  /** Requests a loan from a lender unless an equivalent request is open. */
  requestLoan(
    lender: string,
    epoch: number,
    at: number,
    wanted: {tokens: number; minimumTokens: number; waitedMilliseconds: number},
  ): void {
    const current = this.openRequests.get(lender);
    const retryAfter =
      this.options.viewTimeoutMilliseconds * REQUEST_RETRY_FRACTION;
    // The lender does not queue a request without a minimum, so it is repeated
    // once the stated wait has passed.
    const answered =
      current?.minimumTokens === 0 &&
      current.expectedAt !== undefined &&
      at >= current.expectedAt;
    if (
      current !== undefined &&
      !answered &&
      current.epoch === epoch &&
      at - current.requestedAt < retryAfter &&
      Math.abs(current.minimumTokens - wanted.minimumTokens) < 1e-6
    ) {
      return;
    }
    const id = `${this.options.idPrefix}-${++this.sequence}`;
    const {minimumTokens} = wanted;
    const sent = this.options.send(lender, {
      kind: 'loan_request',
      id,
      team: this.options.team,
      ...wanted,
    });
    if (!sent) return;
    // Cancelled after the new request is sent, so that the new one replaces the
    // old one in the lender's queue.
    if (current !== undefined) this.cancel(lender);
    this.openRequests.set(lender, {
      id,
      epoch,
      requestedAt: at,
      minimumTokens,
      expectedAt: undefined,
    });
  }

  /**
   * Cancels the open request; a grant that is already in transit is returned.
   */
  cancel(lender: string): void {
    const request = this.openRequests.get(lender);
    if (request === undefined) return;
    this.openRequests.delete(lender);
    this.sendReturn(lender, request.id, request.epoch, ENTIRE_LOAN);
  }

  /** Cancels all open requests. */
  cancelAll(): void {
    for (const lender of [...this.openRequests.keys()]) this.cancel(lender);
  }

  /** Handles a grant; returns whether a loan was added. */
  acceptGrant(
    lender: string,
    grant: PeerMessageOf<'loan_grant'>,
    at: number,
  ): boolean {
    const request = this.openRequests.get(lender);
    if (request?.id !== grant.id) {
      // The request has been replaced or cancelled, so the start of the loan's
      // lifetime is unknown.
      if (grant.tokens > 0) {
        this.sendReturn(lender, grant.id, grant.epoch, grant.tokens);
      }
      return false;
    }
    if (grant.tokens <= 0) {
      request.expectedAt = at + grant.retryAfterMilliseconds;
      return false;
    }
    this.openRequests.delete(lender);
    const lifetime = Math.min(
      grant.validForMilliseconds,
      this.options.viewTimeoutMilliseconds * MAXIMUM_LOAN_FRACTION,
    );
    this.loans.push({
      id: grant.id,
      lender,
      epoch: grant.epoch,
      // The lender counts a full view timeout from the grant, which happened
      // after the request, so a lifetime counted from the request ends earlier.
      expiresAt: request.requestedAt + lifetime,
      acceptedAt: at,
      available: grant.tokens,
      closed: false,
      unreportedRefund: 0,
    });
    return true;
  }

  /**
   * Closes loans that are used up, expired or idle, and returns unused and
   * refunded tokens to their lenders.
   *
   * @param keep Whether to keep a loan with tokens left for later requests.
   */
  closeLoans(epoch: number, at: number, keep: (loan: Loan) => boolean): void {
    for (const loan of this.loans) {
      const ended = loan.epoch !== epoch || at >= loan.expiresAt;
      if (!ended && loan.available > 0 && keep(loan)) continue;
      loan.closed = true;
      if (loan.epoch !== epoch) continue;
      this.sendReturn(loan.lender, loan.id, epoch, loan.available);
      loan.available = 0;
    }
    this.loans = this.loans.filter(loan => !loan.closed);
    for (const loan of this.loansWithRefund) {
      if (loan.epoch === epoch && loan.closed) {
        this.sendReturn(loan.lender, loan.id, epoch, loan.unreportedRefund);
      }
      loan.unreportedRefund = 0;
    }
    this.loansWithRefund.clear();
    for (const [lender, request] of this.openRequests) {
      if (request.epoch !== epoch) this.cancel(lender);
    }
  }

  private usableLoans(epoch: number, at: number): Loan[] {
    return this.loans.filter(
      loan => loan.epoch === epoch && at < loan.expiresAt && !loan.closed,
    );
  }

  private sendReturn(
    lender: string,
    id: string,
    epoch: number,
    tokens: number,
  ): void {
    const {team} = this.options;
    this.options.send(lender, {kind: 'loan_return', id, team, epoch, tokens});
  }
}
