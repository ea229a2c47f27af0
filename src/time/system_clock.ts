import type {CancelTimer, Clock} from './clock.ts';

/** {@link Clock} based on the timers of Node.js. */
export class SystemClock implements Clock {
  monotonicMilliseconds(): number {
    return performance.now();
  }

  now(): Date {
    return new Date();
  }

  startTimer(delayMilliseconds: number, callback: () => void): CancelTimer {
    const timer = setTimeout(callback, delayMilliseconds);
    return () => clearTimeout(timer);
  }
}
