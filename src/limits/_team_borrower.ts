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
  /** Whether the lender was told that no more of it will be spent. */
  closed: boolean;
  /** Tokens to give back that the lender was not told of yet. */
  unreportedRefund: number;
}

/** Options of {@link TeamBorrower}. */
export interface TeamBorrowerOptions {
  team: string;
  /** View timeout T, the longest time for which a loan is spent. */
  viewTimeoutMilliseconds: number;
  /** Prefix that makes ids unique between runs of this process. */
  idPrefix: string;
  /** Sends a message; false when there is no link. */
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
  /** Time at which the lender expects to grant it. */
  expectedAt: number | undefined;
}

/** Returned for a loan of unknown size; the lender credits what it lent. */
const ENTIRE_LOAN = Number.MAX_SAFE_INTEGER;
// A grant that has not come by then was probably lost; half a view timeout
// stays to spend the next one.
const REQUEST_RETRY_FRACTION = 1 / 3;
// The loan ends before the view timeout by this share, whatever the grant says.
const MAXIMUM_LOAN_FRACTION = 0.95;

/** Loans of one team on this host, and the requests for more. */
export class TeamBorrower {
  private readonly openRequests = new Map<string, OpenRequest>();
  private loans: Loan[] = [];
  private loansWithRefund = new Set<Loan>();
  private sequence = 0;

  constructor(private readonly options: TeamBorrowerOptions) {}

  /** Tokens that can be spent under the lease's epoch. */
  available(epoch: number, at: number): number {
    let sum = 0;
    for (const loan of this.usableLoans(epoch, at)) sum += loan.available;
    return sum;
  }

  /** Whether any loan or request is open. */
  get isActive(): boolean {
    return (
      this.loans.length > 0 ||
      this.openRequests.size > 0 ||
      this.loansWithRefund.size > 0
    );
  }

  /** Time at which a lender expects to grant the open request. */
  expectedAt(lender: string): number | undefined {
    return this.openRequests.get(lender)?.expectedAt;
  }

  /** Spends from the loans that end first; returns the parts taken. */
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

  /** Puts back what a request did not use. */
  refund(loan: Loan, tokens: number, epoch: number, at: number): void {
    if (tokens <= 0 || loan.epoch !== epoch) return;
    if (!loan.closed && at < loan.expiresAt) {
      loan.available += tokens;
      return;
    }
    loan.unreportedRefund += tokens;
    this.loansWithRefund.add(loan);
  }

  /** Asks a lender unless an equal request is open. */
  requestLoan(
    lender: string,
    epoch: number,
    at: number,
    wanted: {tokens: number; minimumTokens: number; waitedMilliseconds: number},
  ): void {
    const current = this.openRequests.get(lender);
    const retryAfter =
      this.options.viewTimeoutMilliseconds * REQUEST_RETRY_FRACTION;
    // A request without a minimum does not stay with the lender.
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
    // After the new request, which takes over the place of the old one.
    if (current !== undefined) this.cancel(lender);
    this.openRequests.set(lender, {
      id,
      epoch,
      requestedAt: at,
      minimumTokens,
      expectedAt: undefined,
    });
  }

  /** Withdraws the open request; a grant that is under way goes back. */
  cancel(lender: string): void {
    const request = this.openRequests.get(lender);
    if (request === undefined) return;
    this.openRequests.delete(lender);
    this.sendReturn(lender, request.id, request.epoch, ENTIRE_LOAN);
  }

  /** Withdraws all open requests. */
  cancelAll(): void {
    for (const lender of [...this.openRequests.keys()]) this.cancel(lender);
  }

  /** Takes a grant; returns whether tokens came. */
  acceptGrant(
    lender: string,
    grant: PeerMessageOf<'loan_grant'>,
    at: number,
  ): boolean {
    const request = this.openRequests.get(lender);
    if (request?.id !== grant.id) {
      // Asked for too long ago to know when its lifetime began.
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
      // Counted from the request: the lender may have granted at any moment
      // after it, and counts a full view timeout from the grant.
      expiresAt: request.requestedAt + lifetime,
      acceptedAt: at,
      available: grant.tokens,
      closed: false,
      unreportedRefund: 0,
    });
    return true;
  }

  /**
   * Closes loans that are used up, ended, or idle, and sends refunds.
   *
   * @param keep Whether a loan with tokens left is kept for later requests.
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
