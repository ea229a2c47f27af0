import type {Clock} from '../time/mod.ts';

/** Options of {@link StoreClock}. */
export interface StoreClockOptions {
  clock: Clock;
}

/** A call to the store, in monotonic milliseconds of this host. */
export interface StoreCall {
  readonly startedAt: number;
  /** Time of the store's clock in its response, in milliseconds. */
  readonly storeMilliseconds: number;
}

/**
 * Relates the store's steady clock to the monotonic clock of this host.
 *
 * Hosts that pass on what one of them has read state the time of the store's clock
 * up to which it is known. Its age thus includes all time on the way, in queues
 * of links and of busy hosts alike, without a message for measuring it.
 *
 * The store's time in a response lies between the start and the end of the call,
 * and an update cannot arrive before the time that it states. The difference of the
 * clocks is the smallest one that agrees with the last call, so that ages are
 * rather too high. It falls when this host was suspended, which its monotonic
 * clock does not count, and the next call or update shows that.
 */
export class StoreClock {
  /** Monotonic time of this host less that of the store. */
  private difference: number | undefined;

  constructor(private readonly options: StoreClockOptions) {}

  /** Records a call that has just ended. */
  recordCall({startedAt, storeMilliseconds}: StoreCall): void {
    const lowest = startedAt - storeMilliseconds;
    const highest = this.now() - storeMilliseconds;
    const known = this.difference ?? lowest;
    this.difference = Math.min(highest, Math.max(lowest, known));
  }

  /** Records an update of a peer that states a time of the store's clock. */
  recordUpdate(storeMilliseconds: number): void {
    const highest = this.now() - storeMilliseconds;
    this.difference = Math.min(highest, this.difference ?? highest);
  }

  /** Monotonic time of this host at a time of the store; -Infinity if unknown. */
  toMonotonic(storeMilliseconds: number): number {
    return this.difference === undefined
      ? Number.NEGATIVE_INFINITY
      : storeMilliseconds + this.difference;
  }

  /** Time of the store at a monotonic time of this host; undefined if unknown. */
  toStore(monotonicMilliseconds: number): number | undefined {
    return this.difference === undefined
      ? undefined
      : monotonicMilliseconds - this.difference;
  }

  private now(): number {
    return this.options.clock.monotonicMilliseconds();
  }
}
