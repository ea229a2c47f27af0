import type {CancelTimer, Clock} from './clock.ts';

/** {@link Clock} based on the timers of Node.js. */
export class SystemClock implements Clock {
  monotonicMilliseconds(): number {
    return performance.now();
  }

  now(): Date {
    return new Date();
  }

  /**
   * Starts a timer that never fires before its delay has passed on the monotonic
   * clock. Timers of Node.js may fire up to a millisecond early, and a caller
   * that compares the clock with its deadline would then find it not yet
   * reached.
   */
  startTimer(delayMilliseconds: number, callback: () => void): CancelTimer {
    const dueAt = performance.now() + delayMilliseconds;
    let timer = setTimeout(fire, delayMilliseconds);
    return () => clearTimeout(timer);

    function fire(): void {
      const remaining = dueAt - performance.now();
      if (remaining <= 0) callback();
      else timer = setTimeout(fire, Math.ceil(remaining));
    }
  }
}
