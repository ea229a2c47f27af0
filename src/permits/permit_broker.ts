import type {PeerMessage, PeerMessageOf} from '../peers/mod.ts';
import type {CancelTimer, Clock} from '../time/mod.ts';
import {SteadyShares} from './_steady_shares.ts';
import {coldBudget, type ColdBudget} from './cold_budget.ts';
import type {ColdPhase} from './cold_phases.ts';
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
  /** The same part of the limit of a cold endpoint; 0 while the hosts are unknown. */
  coldShare: () => number;
  /** Requests by which a cold endpoint's number a second may be exceeded. */
  coldEngines: {readonly overrun: number; readonly slack: number};
  /** Called with each decision on a request to a cold endpoint. */
  onColdPermit?: (decision: ColdDecision) => void;
  /** Sends a message; false if there is no connection. */
  send: (hostId: string, message: PeerMessage) => boolean;
  /** Returns a number in [0, 1). */
  random: () => number;
}

/** How a request for a permit for a cold endpoint was decided. */
export type ColdDecision = 'granted' | 'shared' | 'denied';

/**
 * Lowest limit that is observed. An endpoint that takes less still gets a request now
 * and then, whose response shows whether the limit has ended.
 */
const MINIMUM_LIMIT_PER_SECOND = 0.1;

/** Time-out of a question to another host. */
const ANSWER_TIMEOUT_MILLISECONDS = 250;

/** Time for which a host that did not answer is not asked again. */
const SILENT_MILLISECONDS = 2000;

/**
 * Time ahead for which permits of a cold endpoint are granted at most: they are used
 * although their granter has ended. Its successor waits longer (`SteadyShare`).
 */
const COLD_HORIZON_MILLISECONDS = 1000;

/** Time after which a request for a cold endpoint that nobody grants may return. */
const COLD_RETURN_MILLISECONDS = 250;

interface Question {
  readonly settle: (permit: Permit) => void;
  readonly cancelTimer: CancelTimer;
}

/**
 * Shares the requests that an endpoint takes among the hosts, by demand: for each
 * endpoint one host grants a permit for each request of any host. Requests do not pass
 * through it. A host that gets no answer uses its even share, so that the hosts stay
 * within the limit also while they disagree on who grants.
 *
 * A cold endpoint fails if the limit of any one second is exceeded. For it, a granter
 * grants only the part of the limit that it has been entitled to for a while, and the
 * even shares are taken from a part that is never granted.
 */
export class PermitBroker {
  private readonly granted: PermitSchedule;
  private readonly ownShare: PermitSchedule;
  private readonly questions = new Map<string, Question>();
  private readonly silentUntil = new Map<string, number>();
  private readonly steadyShares: SteadyShares;
  private nextQuestion = 0;

  constructor(private readonly options: PermitBrokerOptions) {
    const {clock, random, limits} = options;
    this.granted = new PermitSchedule({clock});
    // Hosts that lose the same granter do not start their shares together.
    this.ownShare = new PermitSchedule({clock, firstDelay: random});
    this.steadyShares = new SteadyShares({
      clock,
      isCold: incarnation => limits.coldPhaseOf(incarnation) !== undefined,
      share: incarnation => (this.isGranter(incarnation) ? this.share() : 0),
    });
    limits.cold.onBegin(incarnation => this.steadyShares.start(incarnation));
  }

  /**
   * Asks for a permit to send one request to an endpoint.
   *
   * @param horizonMilliseconds Longest time that the request can wait.
   */
  acquire(incarnation: string, horizonMilliseconds: number): Promise<Permit> {
    const {clock, limits, selfId, granter} = this.options;
    const phase = limits.coldPhaseOf(incarnation);
    if (phase?.isPresumed === true) {
      return Promise.resolve(
        this.useOwnShare(incarnation, horizonMilliseconds),
      );
    }
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
    const {clock, isStandbyHost, send} = this.options;
    const {id, incarnation, horizonMilliseconds} = question;
    this.learnLimits(question);
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

  /** Learns of the limit or the cold phase that the asking host knows. */
  private learnLimits({
    incarnation,
    ratePerSecond,
    cold,
  }: PeerMessageOf<'permit_request'>): void {
    const {limits} = this.options;
    if (cold !== undefined) limits.cold.receive({incarnation, ...cold});
    const isUnknown = limits.namedRateOf(incarnation) === undefined;
    // A host that only knows of a cold phase names no limit.
    const isNamed = cold === undefined || ratePerSecond > 0;
    if (isUnknown && isNamed) limits.receive(incarnation, ratePerSecond);
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
        ratePerSecond: limits.namedRateOf(incarnation) ?? 0,
        ...this.describeCold(incarnation),
        horizonMilliseconds,
      });
      if (!isSent) settle(this.useOwnShare(incarnation, horizonMilliseconds));
    });
  }

  /** What a question tells the granter of a cold phase. */
  private describeCold(
    incarnation: string,
  ): Pick<PeerMessageOf<'permit_request'>, 'cold'> {
    const {clock, limits} = this.options;
    const phase = limits.coldPhaseOf(incarnation);
    if (phase === undefined) return {};
    const {ratePerSecond, until} = phase;
    const milliseconds = until - clock.monotonicMilliseconds();
    return {cold: {ratePerSecond, milliseconds}};
  }

  private grant(incarnation: string, horizonMilliseconds: number): Permit {
    const phase = this.options.limits.coldPhaseOf(incarnation);
    if (phase !== undefined)
      return this.grantCold(incarnation, phase, horizonMilliseconds);
    return this.granted.take({
      incarnation,
      ratePerSecond: this.limitOf(incarnation) * this.options.grantedShare(),
      horizonMilliseconds,
    });
  }

  private grantCold(
    incarnation: string,
    phase: ColdPhase,
    horizonMilliseconds: number,
  ): Permit {
    const share = this.steadyShares.lowest(incarnation);
    if (share <= 0) return this.denyCold();
    const {grantedPerSecond, accumulated} = this.budgetOf(phase);
    const permit = this.granted.take({
      incarnation,
      ratePerSecond: this.atMostNamed(incarnation, grantedPerSecond) * share,
      horizonMilliseconds: Math.min(
        horizonMilliseconds,
        COLD_HORIZON_MILLISECONDS,
      ),
      maximumSaved: accumulated,
      notBefore: phase.quietUntil,
    });
    return this.reportCold(permit, 'granted');
  }

  private useOwnShare(
    incarnation: string,
    horizonMilliseconds: number,
  ): Permit {
    const phase = this.options.limits.coldPhaseOf(incarnation);
    if (phase !== undefined)
      return this.useColdShare(incarnation, phase, horizonMilliseconds);
    return this.ownShare.take({
      incarnation,
      ratePerSecond: this.limitOf(incarnation) * this.options.evenShare(),
      horizonMilliseconds,
    });
  }

  private useColdShare(
    incarnation: string,
    phase: ColdPhase,
    horizonMilliseconds: number,
  ): Permit {
    const share = this.options.coldShare();
    if (share <= 0) return this.denyCold();
    const {sharedPerSecond} = this.budgetOf(phase);
    const permit = this.ownShare.take({
      incarnation,
      ratePerSecond: this.atMostNamed(incarnation, sharedPerSecond) * share,
      horizonMilliseconds: Math.min(
        horizonMilliseconds,
        COLD_HORIZON_MILLISECONDS,
      ),
      notBefore: phase.quietUntil,
    });
    return this.reportCold(permit, 'shared');
  }

  private denyCold(): Permit {
    const now = this.options.clock.monotonicMilliseconds();
    return this.reportCold(
      {kind: 'denied', returnAt: now + COLD_RETURN_MILLISECONDS},
      'denied',
    );
  }

  private reportCold(permit: Permit, origin: ColdDecision): Permit {
    const decision = permit.kind === 'granted' ? origin : 'denied';
    this.options.onColdPermit?.(decision);
    return permit;
  }

  private budgetOf({ratePerSecond}: ColdPhase): ColdBudget {
    const {coldEngines} = this.options;
    return coldBudget({requestsPerSecond: ratePerSecond, ...coldEngines});
  }

  private isGranter(incarnation: string): boolean {
    const {granter, selfId} = this.options;
    return granter(incarnation) === selfId;
  }

  private share(): number {
    return this.options.grantedShare();
  }

  private atMostNamed(incarnation: string, ratePerSecond: number): number {
    const {limits} = this.options;
    return limits.namedRateOf(incarnation) === undefined
      ? ratePerSecond
      : Math.min(ratePerSecond, this.limitOf(incarnation));
  }

  private limitOf(incarnation: string): number {
    const limit = this.options.limits.namedRateOf(incarnation) ?? 0;
    return Math.max(MINIMUM_LIMIT_PER_SECOND, limit);
  }
}
