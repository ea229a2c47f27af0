/** Cancels a timer that a {@link Clock} started. */
export type CancelTimer = () => void;

/** Source of time and timers, injected so that tests can control time. */
export interface Clock {
  /** Monotonic time in milliseconds; for durations and leases. */
  monotonicMilliseconds(): number;
  /** Wall-clock time, which may be adjusted; for display and records only. */
  now(): Date;
  /** Calls `callback` once after a delay in milliseconds. */
  startTimer(delayMilliseconds: number, callback: () => void): CancelTimer;
}
