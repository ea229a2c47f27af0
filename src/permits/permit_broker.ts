import type {PeerMessage, PeerMessageOf} from '../peers/mod.ts';
import type {CancelTimer, Clock} from '../time/mod.ts';
import type {EndpointLimits} from './endpoint_limits.ts';
import type {Permit} from './permit.ts';
import {PermitSchedule} from './permit_schedule.ts';

/** Options of {@link PermitBroker}. */
export interface PermitBrokerOptions {
  clock: Clock;
  limits: EndpointLimits;
  selfId: string;
  /**
   * Returns the host that grants the permits of an endpoint; undefined if this host
   * reaches none, so that it has only its even share.
   */
  granter: (incarnation: string) => string | undefined;
  /** Whether a host asks this one because it reaches no other one. */
  isStandbyHost: (hostId: string) => boolean;
  /** Part of each limit that this host grants for all hosts that it reaches, 0 to 1. */
  grantedShare: () => number;
  /** Part of each limit that this host may use without asking, 0 to 1. */
  evenShare: () => number;
  /** Sends a message; false if there is no connection. */
  send: (hostId: string, message: PeerMessage) => boolean;
  /** Returns a number in [0, 1). */
  random: () => number;
}

/**
 * Lowest limit that is observed. An endpoint that takes less still gets a request now
 * and then, whose response shows whether the limit has ended.
 */
const MINIMUM_LIMIT_PER_SECOND = 0.1;

/** Time-out of a question to another host. */
const ANSWER_TIMEOUT_MILLISECONDS = 250;

/** Time for which a host that did not answer is not asked again. */
const SILENT_MILLISECONDS = 2000;

interface Question {
  readonly settle: (permit: Permit) => void;
  readonly cancelTimer: CancelTimer;
}

/**
 * Shares the requests that an endpoint takes among the hosts, by demand: for each
 * endpoint one host grants a permit for each request of any host. Requests do not pass
 * through it. A host that gets no answer uses its even share, so that the hosts stay
 * within the limit also while they disagree on who grants.
 */
export class PermitBroker {
  private readonly granted: PermitSchedule;
  private readonly ownShare: PermitSchedule;
  private readonly questions = new Map<string, Question>();
  private readonly silentUntil = new Map<string, number>();
  private nextQuestion = 0;

  constructor(private readonly options: PermitBrokerOptions) {
    const {clock, random} = options;
    this.granted = new PermitSchedule({clock});
    // Hosts that lose the same granter do not start their shares together.
    this.ownShare = new PermitSchedule({clock, firstDelay: random});
  }

  /**
   * Asks for a permit to send one request to an endpoint.
   *
   * @param horizonMilliseconds Longest time that the request can wait.
   */
  acquire(incarnation: string, horizonMilliseconds: number): Promise<Permit> {
    const {clock, selfId, granter} = this.options;
    const host = granter(incarnation);
    if (host === selfId)
      return Promise.resolve(this.grant(incarnation, horizonMilliseconds));
    const now = clock.monotonicMilliseconds();
    if (host === undefined || now < (this.silentUntil.get(host) ?? now))
      return Promise.resolve(
        this.useOwnShare(incarnation, horizonMilliseconds),
      );
    return this.ask(host, incarnation, horizonMilliseconds);
  }

  /** Answers a question of another host. */
  async answer(
    from: string,
    question: PeerMessageOf<'permit_request'>,
  ): Promise<void> {
    const {clock, limits, isStandbyHost, send} = this.options;
    const {id, incarnation, ratePerSecond, horizonMilliseconds} = question;
    if (limits.rateOf(incarnation) === undefined)
      limits.receive(incarnation, ratePerSecond);
    // An active host takes this one for the granter, also if it is not.
    const permit = isStandbyHost(from)
      ? await this.acquire(incarnation, horizonMilliseconds)
      : this.grant(incarnation, horizonMilliseconds);
    const now = clock.monotonicMilliseconds();
    const at = permit.kind === 'granted' ? permit.at : permit.returnAt;
    send(from, {
      kind: 'permit_reply',
      id,
      isGranted: permit.kind === 'granted',
      inMilliseconds: Math.max(0, at - now),
    });
  }

  /** Applies the answer to a question of this host. */
  receive(reply: PeerMessageOf<'permit_reply'>): void {
    const question = this.questions.get(reply.id);
    if (question === undefined) return;
    const at =
      this.options.clock.monotonicMilliseconds() + reply.inMilliseconds;
    question.settle(
      reply.isGranted ? {kind: 'granted', at} : {kind: 'denied', returnAt: at},
    );
  }

  private ask(
    host: string,
    incarnation: string,
    horizonMilliseconds: number,
  ): Promise<Permit> {
    const {clock, limits, send} = this.options;
    const id = String(this.nextQuestion++);
    return new Promise(resolve => {
      const settle = (permit: Permit) => {
        this.questions.get(id)?.cancelTimer();
        this.questions.delete(id);
        resolve(permit);
      };
      const cancelTimer = clock.startTimer(ANSWER_TIMEOUT_MILLISECONDS, () => {
        const now = clock.monotonicMilliseconds();
        this.silentUntil.set(host, now + SILENT_MILLISECONDS);
        settle(this.useOwnShare(incarnation, horizonMilliseconds));
      });
      this.questions.set(id, {settle, cancelTimer});
      const isSent = send(host, {
        kind: 'permit_request',
        id,
        incarnation,
        ratePerSecond: limits.rateOf(incarnation) ?? 0,
        horizonMilliseconds,
      });
      if (!isSent) settle(this.useOwnShare(incarnation, horizonMilliseconds));
    });
  }

  private grant(incarnation: string, horizonMilliseconds: number): Permit {
    return this.granted.take({
      incarnation,
      ratePerSecond: this.limitOf(incarnation) * this.options.grantedShare(),
      horizonMilliseconds,
    });
  }

  private useOwnShare(
    incarnation: string,
    horizonMilliseconds: number,
  ): Permit {
    return this.ownShare.take({
      incarnation,
      ratePerSecond: this.limitOf(incarnation) * this.options.evenShare(),
      horizonMilliseconds,
    });
  }

  private limitOf(incarnation: string): number {
    const limit = this.options.limits.rateOf(incarnation) ?? 0;
    return Math.max(MINIMUM_LIMIT_PER_SECOND, limit);
  }
}
