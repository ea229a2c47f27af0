import type {Clock} from '../time/mod.ts';

/**
 * Bounds the present time of the store's clock from above, from the last response of
 * the store. The time since then is the longer of those on the monotonic clock and on
 * the wall clock, since the monotonic clock stops while a host is suspended.
 */
export class StoreReference {
  private last:
    | {
        readonly storeMilliseconds: number;
        readonly startedAt: number;
        readonly wallTime: number;
      }
    | undefined;

  constructor(private readonly clock: Clock) {}

  /**
   * Records a response.
   *
   * @param storeMilliseconds Time of the store's clock in the response.
   * @param startedAt Monotonic time at which the call started.
   */
  record(storeMilliseconds: number, startedAt: number): void {
    const sinceStart = this.clock.monotonicMilliseconds() - startedAt;
    const wallTime = this.clock.now().getTime() - sinceStart;
    this.last = {storeMilliseconds, startedAt, wallTime};
  }

  /** Latest time that the store's clock can show; undefined before a response. */
  latestStoreTime(): number | undefined {
    if (this.last === undefined) return undefined;
    const {storeMilliseconds, startedAt, wallTime} = this.last;
    const monotonic = this.clock.monotonicMilliseconds() - startedAt;
    const wallClock = Math.abs(this.clock.now().getTime() - wallTime);
    return storeMilliseconds + Math.max(monotonic, wallClock);
  }
}
