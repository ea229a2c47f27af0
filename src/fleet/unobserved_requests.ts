import type {Clock} from '../time/mod.ts';

/** Options of {@link UnobservedRequests}. */
export interface UnobservedRequestsOptions {
  clock: Clock;
  /** Returns the number of hosts that callers use, including this one. */
  activeHosts: () => number;
  /** Returns the monotonic time at which the peers' counts were taken on average. */
  countedAt: () => number;
}

/**
 * Time constant of the moving averages of request rates. With 64 active hosts and 240
 * requests a second in all, a host sends about 4 a second, so that the average covers 8
 * requests; a burst is half known after 1.4 s.
 */
const TIME_CONSTANT_MILLISECONDS = 2000;

/**
 * Number of keys whose rates are kept; the least recently used ones are dropped. At 300
 * requests a second on one host, all keys of the last 13 s are kept.
 */
const MAXIMUM_KEYS = 4096;

/**
 * Time after which an unfinished request is assumed to have been replaced by another
 * one; engines need 1.5 to 2.9 s for a request (docs/platform.md). Too short a time
 * only makes the choice more random.
 */
const RUN_MILLISECONDS = 2200;

/** Moving average of the rate of one key, as of one moment. */
interface Rate {
  readonly perSecond: number;
  readonly at: number;
}

/**
 * Estimates how many requests the other hosts have sent to the endpoints of a target
 * since the counts of unfinished requests were taken. Callers spread their requests
 * over the active hosts, so each of them is assumed to send as many as this one.
 *
 * Load condition: many hosts choose from the same delayed counts.
 */
export class UnobservedRequests {
  /** Rates by key, least recently used first. */
  private readonly rates = new Map<string, Rate>();

  constructor(private readonly options: UnobservedRequestsOptions) {}

  /** Records that this host sends a request now. */
  record(key: string): void {
    const now = this.options.clock.monotonicMilliseconds();
    const perSecond =
      this.ratePerSecond(key) + 1000 / TIME_CONSTANT_MILLISECONDS;
    this.rates.delete(key);
    this.rates.set(key, {perSecond, at: now});
    const [oldest] = this.rates.keys();
    if (this.rates.size > MAXIMUM_KEYS && oldest !== undefined)
      this.rates.delete(oldest);
  }

  /**
   * Expected number of requests with a key that the counts do not contain: as many as
   * the other hosts send at the rate of this one.
   *
   * @param peerRequests Unfinished requests of the other hosts according to the counts.
   *     A host that gets few requests itself, such as a standby host, infers from them
   *     how many others have begun since.
   */
  of(key: string, peerRequests = 0): number {
    const {activeHosts} = this.options;
    const age = this.ageMilliseconds();
    const others = Math.max(0, activeHosts() - 1);
    const sent = (this.ratePerSecond(key) * others * age) / 1000;
    return Math.max(sent, peerRequests * Math.min(1, age / RUN_MILLISECONDS));
  }

  private ageMilliseconds(): number {
    const {clock, countedAt} = this.options;
    return Math.max(0, clock.monotonicMilliseconds() - countedAt());
  }

  private ratePerSecond(key: string): number {
    const rate = this.rates.get(key);
    if (rate === undefined) return 0;
    const elapsed = this.options.clock.monotonicMilliseconds() - rate.at;
    return rate.perSecond * Math.exp(-elapsed / TIME_CONSTANT_MILLISECONDS);
  }
}
