import type {EventLogger} from '../observability/mod.ts';
import type {PeerMessageOf} from '../peers/mod.ts';
import type {Clock} from '../time/mod.ts';
import {
  type ColdObservation,
  type ColdPhase,
  ColdPhases,
} from './cold_phases.ts';

/** Options of {@link EndpointLimits}. */
export interface EndpointLimitsOptions {
  clock: Clock;
  logger: EventLogger;
  /** Tells all hosts of a limit; undefined when it has ended. */
  announce: (incarnation: string, ratePerSecond: number | undefined) => void;
  /** Tells all hosts of a cold phase that a response has shown. */
  announceCold?: (observation: ColdObservation) => void;
  /** Called with the number of cold processes after each change. */
  onColdCount?: (count: number) => void;
}

/** What a response of an endpoint says of its limit. */
export interface LimitObservation {
  /** Process of the endpoint. */
  readonly incarnation: string;
  /** Requests a second from all hosts; undefined if the response names no limit. */
  readonly ratePerSecond: number | undefined;
  /** Cold phase that the response states; undefined if it states none. */
  readonly cold?: {milliseconds: number; ratePerSecond: number} | undefined;
  /** Monotonic time at which the request was sent. */
  readonly sentAt: number;
  /** Whether the endpoint has served the request. */
  readonly isSuccess: boolean;
}

interface Limit {
  ratePerSecond: number;
  /** Rate that the other hosts know. */
  announcedRate: number;
  /** Monotonic time at which this host learned that there is a limit. */
  readonly learnedAt: number;
}

/** Relative change of a limit that is announced. */
const SIGNIFICANT_CHANGE = 0.1;

/** Maximum number of limits; the least recently learned is dropped. */
const MAXIMUM_ENTRIES = 10_000;

/**
 * Requests a second that endpoints take from all hosts together, as they say in their
 * responses. A host that has learned of a limit tells the others.
 */
export class EndpointLimits {
  /** Cold phases of the processes, which end independently of named limits. */
  readonly cold: ColdPhases;
  private readonly limits = new Map<string, Limit>();

  constructor(private readonly options: EndpointLimitsOptions) {
    const {clock, logger, onColdCount: onCount} = options;
    this.cold = new ColdPhases({
      clock,
      logger,
      ...(onCount === undefined ? {} : {onCount}),
    });
  }

  /**
   * Requests a second that a process takes: the lower of the limit that it names and its
   * rate while it is cold. Undefined if it takes any number.
   */
  rateOf(incarnation: string): number | undefined {
    const named = this.namedRateOf(incarnation);
    const cold = this.coldPhaseOf(incarnation)?.ratePerSecond;
    if (named === undefined || cold === undefined) return named ?? cold;
    return Math.min(named, cold);
  }

  /** Requests a second that a process names in its responses. */
  namedRateOf(incarnation: string): number | undefined {
    return this.limits.get(incarnation)?.ratePerSecond;
  }

  /** Cold phase of a process; undefined if it is warm. */
  coldPhaseOf(incarnation: string): ColdPhase | undefined {
    return this.cold.current(incarnation);
  }

  /** All known limits, for a host that has just connected. */
  current(): readonly {incarnation: string; ratePerSecond: number}[] {
    return [...this.limits].map(([incarnation, {ratePerSecond}]) => ({
      incarnation,
      ratePerSecond,
    }));
  }

  /**
   * Records a response. A limit ends with the first success that names none, if its
   * request was sent after the limit was known; others may have been answered before
   * the limit began.
   */
  observe(observation: LimitObservation): void {
    const {incarnation, ratePerSecond, sentAt, isSuccess} = observation;
    this.observeCold(observation);
    const known = this.limits.get(incarnation);
    if (ratePerSecond === undefined) {
      if (known === undefined || !isSuccess || sentAt <= known.learnedAt)
        return;
      this.set(incarnation, undefined);
      this.options.announce(incarnation, undefined);
      return;
    }
    this.set(incarnation, ratePerSecond);
    const limit = this.limits.get(incarnation);
    if (limit === undefined) return;
    const change = Math.abs(ratePerSecond - limit.announcedRate);
    if (
      known !== undefined &&
      change <= limit.announcedRate * SIGNIFICANT_CHANGE
    ) {
      return;
    }
    limit.announcedRate = ratePerSecond;
    this.options.announce(incarnation, ratePerSecond);
  }

  private observeCold({incarnation, cold, sentAt}: LimitObservation): void {
    this.cold.recordAnswer(incarnation, sentAt);
    if (cold === undefined) return;
    const seen = {incarnation, ...cold};
    if (this.cold.recordResponse(seen, sentAt))
      this.options.announceCold?.(seen);
  }

  /** Records a message of another host, on a limit or on a cold phase. */
  receiveAnnouncement(message: PeerMessageOf<'endpoint_limit'>): void {
    const {incarnation, ratePerSecond, cold} = message;
    if (cold !== undefined) this.cold.receive({incarnation, ...cold});
    else this.receive(incarnation, ratePerSecond ?? undefined);
  }

  /** Records what another host has announced. */
  receive(incarnation: string, ratePerSecond: number | undefined): void {
    this.set(incarnation, ratePerSecond);
    const limit = this.limits.get(incarnation);
    if (limit !== undefined) limit.announcedRate = limit.ratePerSecond;
  }

  private set(incarnation: string, ratePerSecond: number | undefined): void {
    const {clock, logger} = this.options;
    const known = this.limits.get(incarnation);
    if (ratePerSecond === undefined) {
      if (!this.limits.delete(incarnation)) return;
      logger.event('endpointLimitEnded', {incarnation});
      return;
    }
    if (known !== undefined) {
      known.ratePerSecond = ratePerSecond;
      return;
    }
    const [oldest] = this.limits.keys();
    if (this.limits.size >= MAXIMUM_ENTRIES && oldest !== undefined)
      this.limits.delete(oldest);
    this.limits.set(incarnation, {
      ratePerSecond,
      announcedRate: ratePerSecond,
      learnedAt: clock.monotonicMilliseconds(),
    });
    logger.event('endpointLimited', {incarnation, ratePerSecond});
  }
}
