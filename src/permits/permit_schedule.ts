import type {Clock} from '../time/mod.ts';
import type {Permit} from './permit.ts';

/** Options of {@link PermitSchedule}. */
export interface PermitScheduleOptions {
  clock: Clock;
  /**
   * Returns the part of the first interval after which an endpoint's first permit
   * is granted, 0 to 1. @default 0
   */
  firstDelay?: () => number;
}

/** A request for a permit. */
export interface PermitTerms {
  /** Process of the endpoint. */
  readonly incarnation: string;
  /** Permits a second. */
  readonly ratePerSecond: number;
  /** Longest time that the request can wait, in milliseconds. */
  readonly horizonMilliseconds: number;
}

/** Lowest rate that is scheduled; bounds the length of an interval. */
const MINIMUM_RATE_PER_SECOND = 0.001;

/** Maximum time after which a refused caller is told to return. */
const MAXIMUM_RETURN_MILLISECONDS = 10_000;

/** Maximum number of endpoints; the least recently added is dropped. */
const MAXIMUM_ENTRIES = 10_000;

interface Slots {
  ratePerSecond: number;
  /** Monotonic time of the next permit. */
  nextAt: number;
  /** Monotonic time at which the next refused caller returns. */
  nextReturnAt: number;
}

/**
 * Spaces the requests to each endpoint evenly at its rate. Permits are not saved up,
 * so that no interval gets more than its share. Refused callers are told to return
 * one after the other at the same rate, instead of all at once.
 */
export class PermitSchedule {
  private readonly slots = new Map<string, Slots>();

  constructor(private readonly options: PermitScheduleOptions) {}

  /** Grants the next permit if the request can wait for it. */
  take(terms: PermitTerms): Permit {
    const now = this.options.clock.monotonicMilliseconds();
    const slots = this.slotsOf(terms, now);
    const interval = 1000 / slots.ratePerSecond;
    const at = Math.max(now, slots.nextAt);
    if (at - now <= terms.horizonMilliseconds) {
      slots.nextAt = at + interval;
      return {kind: 'granted', at};
    }
    const returnAt = Math.max(at, slots.nextReturnAt);
    slots.nextReturnAt = Math.min(
      returnAt + interval,
      now + MAXIMUM_RETURN_MILLISECONDS,
    );
    return {kind: 'denied', returnAt};
  }

  private slotsOf(terms: PermitTerms, now: number): Slots {
    const {incarnation} = terms;
    const ratePerSecond = Math.max(
      MINIMUM_RATE_PER_SECOND,
      terms.ratePerSecond,
    );
    const known = this.slots.get(incarnation);
    if (known !== undefined) {
      // Permits that are granted ahead take less or more time at the new rate.
      const ratio = known.ratePerSecond / ratePerSecond;
      known.nextAt = now + Math.max(0, known.nextAt - now) * ratio;
      known.nextReturnAt = now + Math.max(0, known.nextReturnAt - now) * ratio;
      known.ratePerSecond = ratePerSecond;
      return known;
    }
    const delay = (this.options.firstDelay?.() ?? 0) * (1000 / ratePerSecond);
    const slots = {ratePerSecond, nextAt: now + delay, nextReturnAt: now};
    const [oldest] = this.slots.keys();
    if (this.slots.size >= MAXIMUM_ENTRIES && oldest !== undefined)
      this.slots.delete(oldest);
    this.slots.set(incarnation, slots);
    return slots;
  }
}
