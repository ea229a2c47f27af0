import type {CancelTimer, Clock} from '../time/mod.ts';

/**
 * Clock of one process that can be paused: time goes on, and the timers and
 * deliveries that fall into the pause run all at once at its end.
 */
export class PausableClock implements Clock {
  private paused = false;
  private stopped = false;
  private readonly held: (() => void)[] = [];

  constructor(private readonly shared: Clock) {}

  monotonicMilliseconds(): number {
    return this.shared.monotonicMilliseconds();
  }

  now(): Date {
    return this.shared.now();
  }

  startTimer(delayMilliseconds: number, callback: () => void): CancelTimer {
    let cancelled = false;
    const cancelShared = this.shared.startTimer(delayMilliseconds, () => {
      this.run(() => {
        if (!cancelled) callback();
      });
    });
    return () => {
      cancelled = true;
      cancelShared();
    };
  }

  /** Whether the process runs now. */
  get isRunning(): boolean {
    return !this.paused && !this.stopped;
  }

  /** Runs an action of the process now, or at the end of the pause. */
  run(action: () => void): void {
    if (this.stopped) return;
    if (this.paused) this.held.push(action);
    else action();
  }

  /** Pauses the process. */
  pause(): void {
    this.paused = true;
  }

  /**
   * Ends the pause.
   *
   * @param first Called before anything that fell into the pause is run.
   */
  resume(first: () => void = () => undefined): void {
    this.paused = false;
    first();
    for (const action of this.held.splice(0)) this.run(action);
  }

  /** Ends the process: nothing of it runs any more. */
  kill(): void {
    this.stopped = true;
    this.held.length = 0;
  }
}
