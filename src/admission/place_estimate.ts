import type {Endpoint} from '../fleet/mod.ts';
import {EventRate} from './event_rate.ts';

/** Input of {@link PlaceEstimate}. */
export interface PlaceInput {
  readonly candidates: readonly Endpoint[];
  readonly expectedMilliseconds: number;
  /** Part of the requests at the candidates that is of this host, 0 to 1. */
  readonly share: number;
  /** Part of the slots whose use this host knows of, 0 to 1. */
  readonly slotShare: number;
}

/** Places a second, which waiting requests get one after the other. */
export interface PlaceRates {
  /** For requests that can still be on time. */
  readonly onTimePerSecond: number;
  /** For late requests, which get those that the others leave. */
  readonly latePerSecond: number;
}

/** Who got a place. */
export type PlaceKind =
  /** A request that had little slack from the start. */
  | 'immediate'
  /** One that waited and could still be on time. */
  | 'on_time'
  /** Another one. */
  | 'other';

/**
 * Part of the places that waiting requests get at least: in the end, their level is as
 * high as that of immediate requests.
 */
const MINIMUM_PART = 0.1;

/**
 * Places a second that are taken to go to any request, so that nothing is concluded
 * from the few requests that a host sends where many share an engine.
 */
const PRIOR_PER_SECOND = 1;

type Rates = Readonly<Record<PlaceKind | 'ended', EventRate>>;

/** Estimates how many waiting requests of this host engines will take. */
export class PlaceEstimate {
  private readonly rates = new WeakMap<Endpoint, Rates>();

  /** Records that a request of this host has ended at an endpoint. */
  recordEnd(endpoint: Endpoint, now: number): void {
    this.ratesOf(endpoint).ended.record(now);
  }

  /** Records that a request has got a place at an endpoint. */
  recordPlace(endpoint: Endpoint, kind: PlaceKind, now: number): void {
    this.ratesOf(endpoint)[kind].record(now);
  }

  /**
   * Places a second for requests that can wait: the rate at which requests of this host
   * end, or that of its share of the slots if it has had less to send, without the part
   * that more urgent requests take.
   */
  perSecond(input: PlaceInput, now: number): PlaceRates {
    let slots = 0;
    const sums = {immediate: 0, on_time: 0, other: PRIOR_PER_SECOND, ended: 0};
    for (const endpoint of input.candidates) {
      const rates = this.ratesOf(endpoint);
      slots += Math.max(1, endpoint.record.slots);
      sums.immediate += rates.immediate.perSecond(now);
      sums.on_time += rates.on_time.perSecond(now);
      sums.other += rates.other.perSecond(now);
      sums.ended += rates.ended.perSecond(now);
    }
    const runsPerSecond = (slots * 1000) / input.expectedMilliseconds;
    const capacity = runsPerSecond * input.share * input.slotShare;
    // Without candidates there are none, by which nothing could be divided.
    const places = Math.max(sums.ended, capacity, Number.EPSILON);
    const {immediate, on_time: onTime, other} = sums;
    const all = immediate + onTime + other;
    const partOf = (rate: number) => Math.max(MINIMUM_PART, rate / all);
    return {
      onTimePerSecond: places * partOf(onTime + other),
      latePerSecond: places * partOf(other),
    };
  }

  private ratesOf(endpoint: Endpoint): Rates {
    let rates = this.rates.get(endpoint);
    if (rates === undefined) {
      rates = {
        immediate: new EventRate(),
        on_time: new EventRate(),
        other: new EventRate(),
        ended: new EventRate(),
      };
      this.rates.set(endpoint, rates);
    }
    return rates;
  }
}
