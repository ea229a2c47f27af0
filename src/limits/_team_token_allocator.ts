import type {Authority, Contract} from '../contracts/mod.ts';
import {failure, type RequestError, success} from '../errors/mod.ts';
import type {LeaseAuthority} from '../leases/mod.ts';
import type {ViewStatus} from '../membership/mod.ts';
import type {EventLogger, Metrics} from '../observability/mod.ts';
import type {PeerChannel, PeerIdentity, PeerMessageOf} from '../peers/mod.ts';
import type {CancelTimer, Clock} from '../time/mod.ts';
import {EPOCH_SEEN_ID, LenderSelector} from './_lender_selector.ts';
import {LoanRequester} from './_loan_requester.ts';
import type {OwnerLivenessTracker} from './_owner_liveness_tracker.ts';
import {contractEnded, rateLimited, viewUnconfirmed} from './_refusals.ts';
import {type Loan, TeamBorrower} from './_team_borrower.ts';
import type {TeamLender} from './_team_lender.ts';
import {
  type ReservationPart,
  type TokenWaiter,
  TokenWaiterQueue,
} from './_token_waiter.ts';
import {expectedWait} from './_expected_wait.ts';

/** Dependencies that the allocators of all teams share. */
export interface TeamTokenAllocatorContext {
  clock: Clock;
  logger: EventLogger;
  metrics: Metrics;
  channel: PeerChannel;
  leases: LeaseAuthority;
  view: ViewStatus;
  authority: () => Authority;
  ownerLiveness: OwnerLivenessTracker;
  viewTimeoutMilliseconds: number;
  isMemberListInEffect: () => boolean;
}

// Longest time between two passes over the queue while requests wait or loans
// are open. Refunds of this period are sent to their lenders together.
const SERVE_INTERVAL_MILLISECONDS = 25;
// Retry time in an error when the actual wait is unknown.
const UNKNOWN_RETRY_MILLISECONDS = 1000;
// Bounds the memory and the work of each pass over the queue while no owner
// answers. Otherwise, requests that cannot be served in time are refused early,
// which keeps the queue shorter.
const MAXIMUM_WAITING = 1000;

/**
 * Allocates one team's tokens on one host. It manages the queue of waiting
 * requests, the loans from other hosts, and the bucket if this host lends.
 */
export class TeamTokenAllocator {
  private readonly queue = new TokenWaiterQueue();
  private readonly borrower: TeamBorrower;
  private readonly lenderSelector: LenderSelector;
  private readonly loanRequester: LoanRequester;
  private cancelTimer: CancelTimer | undefined;
  private timerAt = Infinity;

  constructor(
    private readonly team: string,
    private readonly context: TeamTokenAllocatorContext,
  ) {
    this.lenderSelector = new LenderSelector({...context, team});
    this.borrower = new TeamBorrower({
      team,
      viewTimeoutMilliseconds: context.viewTimeoutMilliseconds,
      idPrefix: context.channel.self.incarnation.slice(0, 40),
      send: (hostId, message) => context.channel.send(hostId, message),
    });
    this.loanRequester = new LoanRequester({
      team,
      channel: context.channel,
      leases: context.leases,
      authority: context.authority,
      lenderSelector: this.lenderSelector,
      borrower: this.borrower,
    });
  }

  /** Contract in force; undefined once it has ended. */
  get contract(): Contract | undefined {
    const contract = this.context.authority().contracts.get(this.team);
    if (contract === undefined || contract.endsAt === null) return contract;
    const endsAt = Date.parse(contract.endsAt);
    return this.context.clock.now().getTime() < endsAt ? contract : undefined;
  }

  /** Queues a request and serves all requests that can be served. */
  enqueue(waiter: TokenWaiter): void {
    const at = this.now();
    if (this.queue.size >= MAXIMUM_WAITING) {
      const message = `${MAXIMUM_WAITING} requests of team "${this.team}" are already waiting for tokens`;
      this.refuse(waiter, rateLimited(message, UNKNOWN_RETRY_MILLISECONDS));
      return;
    }
    this.loanRequester.recordDemand(waiter.tokens, at);
    this.queue.add(waiter);
    this.serve();
  }

  /** Removes a waiter whose request was cancelled. */
  cancel(waiter: TokenWaiter, error: RequestError): void {
    if (!this.queue.remove(waiter)) return;
    waiter.resolve(failure(error));
    this.serve();
  }

  /** Refuses all waiting requests and returns all loans. */
  close(error: RequestError): void {
    for (const waiter of this.queue.removeWhere(() => true)) {
      waiter.resolve(failure(error));
    }
    this.borrower.closeLoans(this.epoch, this.now(), () => false);
    this.borrower.cancelAll();
    this.cancelTimer?.();
    this.cancelTimer = undefined;
    this.timerAt = Infinity;
  }

  /** Handles a loan request of another host. */
  onLoanRequest(
    from: PeerIdentity,
    request: PeerMessageOf<'loan_request'>,
  ): void {
    const at = this.now();
    const lender = this.lenderSelector.select(this.contract, at);
    // No reply is needed: a host that asked the wrong host learns the owner
    // from its own copy of the log.
    if (lender === undefined) return;
    if (request.minimumTokens > lender.bucket.terms.burstTokens) return;
    lender.enqueue(from, request, at);
    this.serve();
    if (!lender.isPending(from, request.id)) return;
    const arrivedAt = at - request.waitedMilliseconds;
    const ahead =
      lender.pendingTokensBefore(arrivedAt) +
      this.queue.tokensBefore(arrivedAt);
    const wait = expectedWait(lender, ahead + request.minimumTokens, at);
    lender.sendWait(from, request, wait);
    const {team} = this;
    this.context.logger.event('loanDenied', {team, host: from.hostId, wait});
  }

  /** Handles a lender's reply to a loan request. */
  onLoanGrant(from: PeerIdentity, grant: PeerMessageOf<'loan_grant'>): void {
    this.borrower.acceptGrant(from.hostId, grant, this.now());
    this.serve();
  }

  /** Handles returned tokens or the acknowledgement of a new epoch. */
  onLoanReturn(
    from: PeerIdentity,
    message: PeerMessageOf<'loan_return'>,
  ): void {
    if (message.id === EPOCH_SEEN_ID) {
      this.lenderSelector.recordEpochSeen(from.hostId, message.epoch);
    } else {
      const lender = this.lenderSelector.findLender(message.epoch);
      lender?.acceptReturn(from, message, this.now());
    }
    this.serve();
  }

  /**
   * Serves the waiting requests in order, requests loans for the others,
   * refuses those that cannot be served in time, and sets the timer for the
   * next pass.
   */
  serve(): void {
    const at = this.now();
    const contract = this.contract;
    this.refuseExpired(contract, at);
    const lender = this.lenderSelector.select(contract, at);
    lender?.expirePending(at);
    while (this.serveNext(lender, at)) {
      // Each iteration serves one request or grants one loan.
    }
    this.loanRequester.update(this.queue, lender, at);
    this.refuseUnservable(lender, at);
    this.schedule(lender, at);
  }

  private get epoch(): number {
    const {leases} = this.context.authority();
    return leases.get(`team:${this.team}`)?.epoch ?? 0;
  }

  private now(): number {
    return this.context.clock.monotonicMilliseconds();
  }

  private serveNext(lender: TeamLender | undefined, at: number): boolean {
    const first = this.queue.first;
    if (!this.context.view.isConfirmed()) return false;
    if (
      lender !== undefined &&
      lender.firstArrivedAt < (first?.arrivedAt ?? Infinity)
    ) {
      return this.grant(lender, at);
    }
    if (first === undefined) return false;
    const {epoch} = this;
    const borrowed = this.borrower.available(epoch, at);
    const missing = Math.max(0, first.tokens - borrowed);
    if (missing > 0 && !lender?.bucket.canTake(missing)) return false;
    this.queue.remove(first);
    first.resolve(success(this.spend(first.tokens, epoch, lender, at)));
    return true;
  }

  private grant(lender: TeamLender, at: number): boolean {
    const granted = lender.grantFirst(at);
    if (granted === undefined) return false;
    if (granted.tokens <= 0) return true;
    const {metrics, logger} = this.context;
    metrics.increment('limpetdale_token_loans_total', {team: this.team});
    const {tokens, epoch} = granted;
    logger.event('loanGranted', {team: this.team, tokens, epoch});
    return true;
  }

  private spend(
    tokens: number,
    epoch: number,
    lender: TeamLender | undefined,
    at: number,
  ): ReservationPart[] {
    const parts: ReservationPart[] = [];
    let missing = tokens;
    for (const part of this.borrower.take(tokens, epoch, at)) {
      missing -= part.tokens;
      parts.push(this.borrowedPart(part.loan, part.tokens));
    }
    const bucket = lender?.bucket;
    const hold = missing > 0 ? bucket?.take(missing) : undefined;
    if (hold === undefined || bucket === undefined) return parts;
    parts.push({
      tokens: missing,
      refund: unused => {
        bucket.advance(this.now());
        bucket.refund(hold, unused);
        this.serve();
      },
      finish: () => bucket.release(hold),
    });
    return parts;
  }

  private borrowedPart(loan: Loan, tokens: number): ReservationPart {
    return {
      tokens,
      refund: unused => {
        this.borrower.refund(loan, unused, this.epoch, this.now());
        this.serve();
      },
      finish: () => undefined,
    };
  }

  private refuseExpired(contract: Contract | undefined, at: number): void {
    const confirmed = this.context.view.isConfirmed();
    for (const waiter of this.queue.removeWhere(
      entry => contract === undefined || at >= entry.deadlineAt,
    )) {
      this.refuse(
        waiter,
        contract === undefined
          ? contractEnded(this.team)
          : confirmed
            ? rateLimited(
                `Team "${this.team}" did not obtain ${waiter.tokens} tokens before the request deadline`,
                UNKNOWN_RETRY_MILLISECONDS,
              )
            : viewUnconfirmed(UNKNOWN_RETRY_MILLISECONDS),
      );
    }
    if (contract === undefined) return;
    for (const waiter of this.queue.removeWhere(
      entry => entry.tokens > contract.burstTokens,
    )) {
      this.refuse(waiter, burstExceeded(this.team, waiter.tokens, contract));
    }
  }

  /** Refuses requests that cannot be served before their deadline. */
  private refuseUnservable(lender: TeamLender | undefined, at: number): void {
    const rate = this.contract?.tokensPerSecond;
    if (rate === undefined || this.queue.size === 0) return;
    const expectedWaitOf = this.waitEstimator(lender, rate, at);
    if (expectedWaitOf === undefined) return;
    for (const waiter of this.queue.removeWhere(
      (entry, ahead) => at + expectedWaitOf(entry, ahead) > entry.deadlineAt,
    )) {
      const wait = expectedWaitOf(
        waiter,
        this.queue.tokensBefore(waiter.arrivedAt),
      );
      this.refuse(
        waiter,
        rateLimited(
          `Team "${this.team}" would obtain ${waiter.tokens} tokens in ${Math.ceil(wait)} ms, after the request deadline`,
          wait,
        ),
      );
    }
  }

  private waitEstimator(
    lender: TeamLender | undefined,
    rate: number,
    at: number,
  ): ((waiter: TokenWaiter, tokensAhead: number) => number) | undefined {
    if (this.lenderSelector.isOwnerTerminated(at)) return undefined;
    if (lender !== undefined) {
      const borrowed = this.borrower.available(this.epoch, at);
      return (waiter, tokensAhead) => {
        const ahead =
          tokensAhead + lender.pendingTokensBefore(waiter.arrivedAt);
        return expectedWait(lender, waiter.tokens + ahead - borrowed, at);
      };
    }
    const owner = this.context.leases.holderOf(`team:${this.team}`);
    const expectedAt =
      owner === undefined ? undefined : this.borrower.expectedAt(owner);
    if (expectedAt === undefined) return undefined;
    const firstTokens = this.queue.first?.tokens ?? 0;
    return (waiter, tokensAhead) => {
      const after = Math.max(0, tokensAhead + waiter.tokens - firstTokens);
      return Math.max(0, expectedAt - at) + (after * 1000) / rate;
    };
  }

  private refuse(waiter: TokenWaiter, error: RequestError): void {
    const {metrics, logger} = this.context;
    metrics.increment('limpetdale_rate_limited_total', {team: this.team});
    const {code, message} = error;
    logger.event('requestRateLimited', {team: this.team, code, message});
    waiter.resolve(failure(error));
  }

  private schedule(lender: TeamLender | undefined, at: number): void {
    const hasLoanRequests = (lender?.firstArrivedAt ?? Infinity) < Infinity;
    const waiting = this.queue.size > 0 || hasLoanRequests;
    if (!waiting && !this.borrower.isActive) {
      this.cancelTimer?.();
      this.cancelTimer = undefined;
      this.timerAt = Infinity;
      return;
    }
    let wakeAt = at + SERVE_INTERVAL_MILLISECONDS;
    wakeAt = Math.min(wakeAt, this.queue.earliestDeadline);
    if (waiting && lender !== undefined) {
      const tokens = Math.max(
        lender.firstMinimumTokens,
        this.queue.first?.tokens ?? 0,
      );
      const refilledAt = at + expectedWait(lender, tokens, at);
      if (refilledAt > at) wakeAt = Math.min(wakeAt, refilledAt);
    }
    wakeAt = Math.max(wakeAt, at + 1);
    if (this.cancelTimer !== undefined && this.timerAt <= wakeAt) return;
    this.cancelTimer?.();
    this.timerAt = wakeAt;
    this.cancelTimer = this.context.clock.startTimer(wakeAt - at, () => {
      this.cancelTimer = undefined;
      this.timerAt = Infinity;
      this.serve();
    });
  }
}

function burstExceeded(
  team: string,
  tokens: number,
  contract: Contract,
): RequestError {
  return rateLimited(
    `The request needs ${tokens} tokens, more than the burst of ${contract.burstTokens} tokens of team "${team}"`,
  );
}
