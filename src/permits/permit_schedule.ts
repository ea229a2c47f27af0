import type {Clock} from '../time/mod.ts';
import type {Permit} from './permit.ts';

/** Options of {@link PermitSchedule}. */
export interface PermitScheduleOptions {
  clock: Clock;
  /**
   * Returns the part of an interval after which the first permit is granted, and the
   * first one after a pause, 0 to 1. With it, no permits are saved: many hosts that
   * each have a small share must not use it at the same time. @default none
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
  /** Number of permits that may be saved. @default those of one second */
  readonly maximumSaved?: number | undefined;
  /** Monotonic time before which no permit is granted. */
  readonly notBefore?: number | undefined;
}

/** Lowest rate that is scheduled; bounds the length of an interval. */
const MINIMUM_RATE_PER_SECOND = 0.001;

/** Time for which unused permits are saved. */
const SAVED_MILLISECONDS = 1000;

/** Number of permits that are saved at least, also at low rates. */
const MINIMUM_SAVED = 2;

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
 * Spaces the requests to each endpoint at its rate. Unused permits are saved up for one
 * second or up to a given number, since requests do not arrive evenly; a new schedule has none saved. Refused
 * callers are told to return one after the other at the same rate, instead of all at
 * once.
 */
export class PermitSchedule {
  private readonly slots = new Map<string, Slots>();

  constructor(private readonly options: PermitScheduleOptions) {}

  /** Grants the next permit if the request can wait for it. */
  take(terms: PermitTerms): Permit {
    const now = this.options.clock.monotonicMilliseconds();
    const slots = this.slotsOf(terms, now);
    const interval = 1000 / slots.ratePerSecond;
    this.endPause(slots, terms, now, interval);
    slots.nextAt = Math.max(slots.nextAt, terms.notBefore ?? slots.nextAt);
    const at = Math.max(now, slots.nextAt);
    if (at - now <= terms.horizonMilliseconds) {
      slots.nextAt += interval;
      return {kind: 'granted', at};
    }
    const returnAt = Math.max(at, slots.nextReturnAt);
    slots.nextReturnAt = Math.min(
      returnAt + interval,
      now + MAXIMUM_RETURN_MILLISECONDS,
    );
    return {kind: 'denied', returnAt};
  }

  /** Drops permits that were not used, beyond those that are saved. */
  private endPause(
    slots: Slots,
    {maximumSaved, notBefore}: PermitTerms,
    now: number,
    interval: number,
  ): void {
    const {firstDelay} = this.options;
    if (firstDelay === undefined) {
      const saved =
        maximumSaved === undefined
          ? Math.max(SAVED_MILLISECONDS, MINIMUM_SAVED * interval)
          : maximumSaved * interval;
      slots.nextAt = Math.max(slots.nextAt, now - saved + interval);
    } else if (notBefore !== undefined && slots.nextAt < notBefore) {
      // Hosts that wait for the same time do not begin together.
      slots.nextAt = notBefore + firstDelay() * interval;
    } else if (slots.nextAt < now - interval) {
      slots.nextAt = now + firstDelay() * interval;
    } else {
      slots.nextAt = Math.max(slots.nextAt, now);
    }
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
      known.nextAt += Math.max(0, known.nextAt - now) * (ratio - 1);
      known.nextReturnAt += Math.max(0, known.nextReturnAt - now) * (ratio - 1);
      known.ratePerSecond = ratePerSecond;
      return known;
    }
    const delay = (this.options.firstDelay?.() ?? 0) * (1000 / ratePerSecond);
    const start = Math.max(now, terms.notBefore ?? now);
    const slots = {ratePerSecond, nextAt: start + delay, nextReturnAt: now};
    const [oldest] = this.slots.keys();
    if (this.slots.size >= MAXIMUM_ENTRIES && oldest !== undefined)
      this.slots.delete(oldest);
    this.slots.set(incarnation, slots);
    return slots;
  }
}
