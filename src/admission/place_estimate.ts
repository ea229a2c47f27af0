import type {Endpoint} from '../fleet/mod.ts';
import {EventRate} from './event_rate.ts';

/** Input of {@link PlaceEstimate.perSecond}. */
export interface PlaceInput {
  readonly candidates: readonly Endpoint[];
  readonly expectedMilliseconds: number;
  /** Part of the requests at the candidates that is of this host, 0 to 1. */
  readonly share: number;
  /** Part of the slots whose use this host knows of, 0 to 1. */
  readonly slotShare: number;
}

/**
 * Part of the places that waiting requests get at least: in the end, their level is as
 * high as that of requests that do not wait.
 */
const MINIMUM_PART = 0.1;

interface Rates {
  readonly completions: EventRate;
  readonly direct: EventRate;
}

/** Estimates how many waiting requests of this host engines will take. */
export class PlaceEstimate {
  private readonly rates = new WeakMap<Endpoint, Rates>();

  /** Records that a request of this host has ended at an endpoint. */
  recordEnd(endpoint: Endpoint, now: number): void {
    this.ratesOf(endpoint).completions.record(now);
  }

  /** Records a request that was sent without a wait, ahead of the waiting ones. */
  recordDirect(endpoint: Endpoint, now: number): void {
    this.ratesOf(endpoint).direct.record(now);
  }

  /**
   * Places a second for waiting requests: the rate at which requests of this host end,
   * or that of its share of the slots if it has had less to send, without the requests
   * that do not wait.
   */
  perSecond(input: PlaceInput, now: number): number {
    let slots = 0;
    let completions = 0;
    let direct = 0;
    for (const endpoint of input.candidates) {
      const rates = this.ratesOf(endpoint);
      slots += Math.max(1, endpoint.record.slots);
      completions += rates.completions.perSecond(now);
      direct += rates.direct.perSecond(now);
    }
    const runsPerSecond = (slots * 1000) / input.expectedMilliseconds;
    const capacity = runsPerSecond * input.share * input.slotShare;
    const available = Math.max(completions, capacity) - direct;
    return Math.max(MINIMUM_PART * capacity, available);
  }

  private ratesOf(endpoint: Endpoint): Rates {
    let rates = this.rates.get(endpoint);
    if (rates === undefined) {
      rates = {completions: new EventRate(), direct: new EventRate()};
      this.rates.set(endpoint, rates);
    }
    return rates;
  }
}
