import type {Clock} from '../time/mod.ts';
import {ORDER_TIMEOUT_MILLISECONDS} from './_held_lease.ts';

/** Orders that this host has sent while it held a lease. */
export class IssuedOrders {
  private lastOrderAt = Number.NEGATIVE_INFINITY;
  private inFlight = 0;

  constructor(private readonly clock: Clock) {}

  /** Records that an order is being sent. */
  begin(): void {
    this.inFlight++;
    this.lastOrderAt = this.clock.monotonicMilliseconds();
  }

  /** Records that an order was answered or abandoned; it may have arrived until now. */
  end(): void {
    this.inFlight--;
    this.lastOrderAt = this.clock.monotonicMilliseconds();
  }

  /**
   * Milliseconds since the last order; negative while one may still arrive.
   *
   * @param previousOrderAt Monotonic time of the last order of a previous holder.
   */
  sinceLast(previousOrderAt: number): number {
    if (this.inFlight > 0) return -ORDER_TIMEOUT_MILLISECONDS;
    const now = this.clock.monotonicMilliseconds();
    return now - Math.max(this.lastOrderAt, previousOrderAt);
  }
}
