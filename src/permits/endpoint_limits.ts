import type {EventLogger} from '../observability/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Options of {@link EndpointLimits}. */
export interface EndpointLimitsOptions {
  clock: Clock;
  logger: EventLogger;
  /** Tells all hosts of a limit; undefined when it has ended. */
  announce: (incarnation: string, ratePerSecond: number | undefined) => void;
}

/** What a response of an endpoint says of its limit. */
export interface LimitObservation {
  /** Process of the endpoint. */
  readonly incarnation: string;
  /** Requests a second from all hosts; undefined if the response names no limit. */
  readonly ratePerSecond: number | undefined;
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
  private readonly limits = new Map<string, Limit>();

  constructor(private readonly options: EndpointLimitsOptions) {}

  /** Requests a second that a process takes; undefined if it names no limit. */
  rateOf(incarnation: string): number | undefined {
    return this.limits.get(incarnation)?.ratePerSecond;
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
