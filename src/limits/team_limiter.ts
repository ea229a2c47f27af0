import type {Authority} from '../contracts/mod.ts';
import {
  failure,
  type RequestError,
  type Result,
  success,
} from '../errors/mod.ts';
import type {LeaseAuthority} from '../leases/mod.ts';
import type {ViewStatus} from '../membership/mod.ts';
import type {EventLogger, Metrics} from '../observability/mod.ts';
import type {PeerChannel, PeerIdentity, PeerMessage} from '../peers/mod.ts';
import type {CancelTimer, Clock} from '../time/mod.ts';
import {OwnerLivenessTracker} from './_owner_liveness_tracker.ts';
import {contractEnded, hostDraining, rateLimited} from './_refusals.ts';
import {TeamTokenAllocator} from './_team_token_allocator.ts';
import {TeamReservation} from './_team_reservation.ts';
import type {ReservationPart, TokenWaiter} from './_token_waiter.ts';
import type {
  Reservation,
  ReservationRequest,
  TokenReserver,
} from './token_reserver.ts';

/** Options of {@link TeamLimiter}. */
export interface TeamLimiterOptions {
  clock: Clock;
  logger: EventLogger;
  metrics: Metrics;
  channel: PeerChannel;
  leases: LeaseAuthority;
  view: ViewStatus;
  /** Returns this host's current copy of the authority. */
  authority: () => Authority;
  /**
   * View timeout T: time after which an unrenewed view is no longer confirmed.
   */
  viewTimeoutMilliseconds: number;
  /**
   * Whether the latest change of the member list is known to be in effect.
   * Until then, a newly added host gets no share of the rate of a team whose
   * owner has terminated. @default () => false
   */
  isMemberListInEffect?: () => boolean;
}

// An extension belongs to a request that is already being answered, so it is
// served before new requests that have waited for less than this time.
const EXTENSION_PRIORITY_MILLISECONDS = 60_000;
// Interval at which contracts are checked. A changed rate must be applied to an
// idle bucket before many tokens accrue at the old rate.
const CONTRACT_CHECK_MILLISECONDS = 100;

/**
 * Enforces the rate and burst of each team across all hosts.
 *
 * A token counts as spent when {@link reserve} or {@link Reservation.extend}
 * succeeds. Excluding tokens that were settled as unused, the tokens spent in
 * any interval are at most the burst plus the rate times the length of the
 * interval.
 *
 * @example
 * ```ts
 * const limiter = new TeamLimiter({clock, logger, metrics, channel, leases,
 *   view, authority: () => log.authority, viewTimeoutMilliseconds: 3000});
 * limiter.start();
 * const reserved = await limiter.reserve({team, tokens, deadlineAt, signal});
 * ```
 */
export class TeamLimiter implements TokenReserver {
  private readonly allocators = new Map<string, TeamTokenAllocator>();
  private readonly ownerLiveness = new OwnerLivenessTracker();
  private unsubscribers: (() => void)[] = [];
  private cancelCheck: CancelTimer = () => undefined;
  private running = false;

  constructor(private readonly options: TeamLimiterOptions) {}

  /** Starts to handle loan messages, connection events and lease changes. */
  start(): void {
    if (this.running) return;
    this.running = true;
    const {channel, leases} = this.options;
    this.unsubscribers = [
      channel.onMessage((from, message) => this.receive(from, message)),
      channel.onConnectionEvent(observation =>
        this.ownerLiveness.observe(observation, this.now()),
      ),
      leases.onChange(scope => {
        if (!scope.startsWith('team:')) return;
        this.allocatorOf(scope.slice('team:'.length))?.serve();
      }),
    ];
    this.checkContracts();
  }

  /** Refuses all waiting requests, returns all loans, and stops. */
  stop(): void {
    if (!this.running) return;
    this.running = false;
    this.cancelCheck();
    for (const unsubscribe of this.unsubscribers) unsubscribe();
    for (const allocator of this.allocators.values()) {
      allocator.close(hostDraining());
    }
    this.allocators.clear();
  }

  async reserve(
    request: ReservationRequest,
  ): Promise<Result<Reservation, RequestError>> {
    const {team} = request;
    const result = await this.acquire(request, 0);
    if (!result.ok) return result;
    const labels = {team};
    const {metrics} = this.options;
    const reservation = new TeamReservation(
      result.value,
      (tokens, deadlineAt, signal) =>
        this.acquire(
          {team, tokens, deadlineAt, signal},
          EXTENSION_PRIORITY_MILLISECONDS,
        ),
      (reserved, used) => {
        metrics.increment('limpetdale_tokens_reserved_total', labels, reserved);
        metrics.increment('limpetdale_tokens_used_total', labels, used);
        // Tokens delivered beyond the reservation may exceed the rate limit.
        const over = Math.max(0, used - reserved);
        metrics.increment('limpetdale_tokens_unreserved_total', labels, over);
      },
    );
    return success(reservation);
  }

  private acquire(
    request: ReservationRequest,
    priorityMilliseconds: number,
  ): Promise<Result<ReservationPart[], RequestError>> {
    const {team, tokens, deadlineAt, signal} = request;
    if (!this.running) return Promise.resolve(failure(hostDraining()));
    const allocator = this.allocatorOf(team);
    if (allocator === undefined) {
      return Promise.resolve(failure(contractEnded(team)));
    }
    if (signal.aborted) return Promise.resolve(failure(cancelled()));
    return new Promise(resolve => {
      const onAbort = () => allocator.cancel(waiter, cancelled());
      const waiter: TokenWaiter = {
        tokens,
        arrivedAt: this.now() - priorityMilliseconds,
        deadlineAt,
        resolve: result => {
          signal.removeEventListener('abort', onAbort);
          resolve(result);
        },
      };
      signal.addEventListener('abort', onAbort, {once: true});
      allocator.enqueue(waiter);
    });
  }

  private receive(from: PeerIdentity, message: PeerMessage): void {
    switch (message.kind) {
      case 'loan_request':
        this.allocatorOf(message.team)?.onLoanRequest(from, message);
        return;
      case 'loan_grant':
        this.allocatorOf(message.team)?.onLoanGrant(from, message);
        return;
      case 'loan_return':
        this.allocatorOf(message.team)?.onLoanReturn(from, message);
        return;
      default:
        // Other modules handle the other kinds.
        return;
    }
  }

  /**
   * Returns the allocator of a team, or undefined if the team has had no
   * contract since this process started.
   */
  private allocatorOf(team: string): TeamTokenAllocator | undefined {
    let allocator = this.allocators.get(team);
    if (allocator !== undefined) return allocator;
    if (!this.options.authority().contracts.has(team)) return undefined;
    allocator = new TeamTokenAllocator(team, {
      ...this.options,
      ownerLiveness: this.ownerLiveness,
      isMemberListInEffect: this.options.isMemberListInEffect ?? (() => false),
    });
    this.allocators.set(team, allocator);
    return allocator;
  }

  private checkContracts(): void {
    // Creates allocators before the first request, so that a new owner's bucket
    // is refilled from the time at which the owner may act.
    for (const team of this.options.authority().contracts.keys()) {
      this.allocatorOf(team);
    }
    for (const allocator of this.allocators.values()) allocator.serve();
    this.cancelCheck = this.options.clock.startTimer(
      CONTRACT_CHECK_MILLISECONDS,
      () => this.checkContracts(),
    );
  }

  private now(): number {
    return this.options.clock.monotonicMilliseconds();
  }
}

function cancelled(): RequestError {
  return rateLimited('The request was cancelled while it waited for tokens');
}
