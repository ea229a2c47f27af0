import {type Clock, sleep} from '../time/mod.ts';

/** Lets callers wait until something has changed. */
export class ChangeWaiters {
  private readonly waiters = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /** Waits for the next {@link wake}, the end of the time or the signal. */
  async wait(milliseconds: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    const controller = new AbortController();
    const wake = () => controller.abort();
    this.waiters.add(wake);
    signal.addEventListener('abort', wake, {once: true});
    await sleep(this.clock, milliseconds, controller.signal);
    signal.removeEventListener('abort', wake);
    this.waiters.delete(wake);
  }

  /** Ends all waits. */
  wake(): void {
    for (const waiter of [...this.waiters]) waiter();
  }
}
