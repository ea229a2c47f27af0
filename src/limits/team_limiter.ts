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
import {OwnerWatch} from './_owner_watch.ts';
import {contractEnded, hostDraining, rateLimited} from './_refusals.ts';
import {TeamDesk} from './_team_desk.ts';
import {TeamReservation} from './_team_reservation.ts';
import type {SpentPart, TokenWaiter} from './_token_waiter.ts';
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
  /** Current authority of this host. */
  authority: () => Authority;
  /** View timeout T. */
  viewTimeoutMilliseconds: number;
  /**
   * Whether the latest change of the member list is known to be in effect.
   * While it is not, a host that was just added has no share of the rate when
   * a team's owner is gone. @default () => false
   */
  isMemberListInEffect?: () => boolean;
}

// An extension belongs to a request that is being answered, so it goes before
// requests that have waited for up to this time.
const EXTENSION_PRIORITY_MILLISECONDS = 60_000;
// A changed rate must reach an idle bucket before much accrues at the old one.
const CONTRACT_CHECK_MILLISECONDS = 100;

/**
 * Keeps each team within its rate and burst over all hosts.
 *
 * A token counts as spent at the moment at which {@link reserve} or
 * {@link Reservation.extend} succeeds. Counted so, and without what was settled
 * as unused, the tokens spent in any interval are at most the burst plus rate
 * times interval.
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
  private readonly desks = new Map<string, TeamDesk>();
  private readonly watch = new OwnerWatch();
  private endings: (() => void)[] = [];
  private cancelCheck: CancelTimer = () => undefined;
  private running = false;

  constructor(private readonly options: TeamLimiterOptions) {}

  /** Begins to lend, borrow and watch the peers. */
  start(): void {
    if (this.running) return;
    this.running = true;
    const {channel, leases} = this.options;
    this.endings = [
      channel.onMessage((from, message) => this.receive(from, message)),
      channel.onObservation(observation =>
        this.watch.observe(observation, this.now()),
      ),
      leases.onChange(scope => {
        if (!scope.startsWith('team:')) return;
        this.deskOf(scope.slice('team:'.length))?.serve();
      }),
    ];
    this.checkContracts();
  }

  /** Refuses what waits, returns loans, and stops. */
  stop(): void {
    if (!this.running) return;
    this.running = false;
    this.cancelCheck();
    for (const end of this.endings) end();
    for (const desk of this.desks.values()) {
      desk.close(hostDraining());
    }
    this.desks.clear();
  }

  async reserve(
    request: ReservationRequest,
  ): Promise<Result<Reservation, RequestError>> {
    const {team} = request;
    const result = await this.obtain(request, 0);
    if (!result.ok) return result;
    const labels = {team};
    const {metrics} = this.options;
    const reservation = new TeamReservation(
      result.value,
      (tokens, deadlineAt, signal) =>
        this.obtain(
          {team, tokens, deadlineAt, signal},
          EXTENSION_PRIORITY_MILLISECONDS,
        ),
      (reserved, used) => {
        metrics.increment('limpetdale_tokens_reserved_total', labels, reserved);
        metrics.increment('limpetdale_tokens_used_total', labels, used);
        // Tokens that were delivered without an extension break the bound.
        const over = Math.max(0, used - reserved);
        metrics.increment('limpetdale_tokens_unreserved_total', labels, over);
      },
    );
    return success(reservation);
  }

  private obtain(
    request: ReservationRequest,
    priorityMilliseconds: number,
  ): Promise<Result<SpentPart[], RequestError>> {
    const {team, tokens, deadlineAt, signal} = request;
    if (!this.running) return Promise.resolve(failure(hostDraining()));
    const desk = this.deskOf(team);
    if (desk === undefined) {
      return Promise.resolve(failure(contractEnded(team)));
    }
    if (signal.aborted) return Promise.resolve(failure(cancelled()));
    return new Promise(resolve => {
      const abandon = () => desk.abandon(waiter, cancelled());
      const waiter: TokenWaiter = {
        tokens,
        arrivedAt: this.now() - priorityMilliseconds,
        deadlineAt,
        resolve: result => {
          signal.removeEventListener('abort', abandon);
          resolve(result);
        },
      };
      signal.addEventListener('abort', abandon, {once: true});
      desk.admit(waiter);
    });
  }

  private receive(from: PeerIdentity, message: PeerMessage): void {
    switch (message.kind) {
      case 'loan_request':
        this.deskOf(message.team)?.onLoanRequest(from, message);
        return;
      case 'loan_grant':
        this.deskOf(message.team)?.onLoanGrant(from, message);
        return;
      case 'loan_return':
        this.deskOf(message.team)?.onLoanReturn(from, message);
        return;
      default:
        // Other kinds belong to other modules.
        return;
    }
  }

  /** Desk of a team that has or had a contract while this process ran. */
  private deskOf(team: string): TeamDesk | undefined {
    let desk = this.desks.get(team);
    if (desk !== undefined) return desk;
    if (!this.options.authority().contracts.has(team)) return undefined;
    desk = new TeamDesk(team, {
      ...this.options,
      watch: this.watch,
      isMemberListInEffect: this.options.isMemberListInEffect ?? (() => false),
    });
    this.desks.set(team, desk);
    return desk;
  }

  private checkContracts(): void {
    // Desks exist before the first request, so that a new owner's bucket fills
    // from the moment it may act.
    for (const team of this.options.authority().contracts.keys()) {
      this.deskOf(team);
    }
    for (const desk of this.desks.values()) desk.serve();
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
  return rateLimited('The caller gave up while the request waited for tokens');
}
