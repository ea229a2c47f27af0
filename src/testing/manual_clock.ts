import type {CancelTimer, Clock} from '../time/mod.ts';

interface ManualTimer {
  readonly dueAt: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/**
 * {@link Clock} that moves only when a test advances it. Timers run in order
 * of their due time, and in order of creation at the same due time.
 */
export class ManualClock implements Clock {
  private elapsed = 0;
  private nextSequence = 0;
  /** Pending timers in a binary heap, the next one first. */
  private readonly heap: ManualTimer[] = [];
  private readonly cancelled = new WeakSet<ManualTimer>();

  constructor(private readonly startedAt = new Date('2030-01-01T00:00:00Z')) {}

  monotonicMilliseconds(): number {
    return this.elapsed;
  }

  now(): Date {
    return new Date(this.startedAt.getTime() + this.elapsed);
  }

  startTimer(delayMilliseconds: number, callback: () => void): CancelTimer {
    const timer: ManualTimer = {
      dueAt: this.elapsed + Math.max(0, delayMilliseconds),
      sequence: this.nextSequence++,
      callback,
    };
    this.push(timer);
    return () => {
      this.cancelled.add(timer);
    };
  }

  /** Runs every timer that is due within `milliseconds` from now. */
  advance(milliseconds: number): void {
    const end = this.elapsed + milliseconds;
    for (;;) {
      const timer = this.nextTimerUntil(end);
      if (timer === undefined) break;
      this.runTimer(timer);
    }
    this.elapsed = end;
  }

  /** Like {@link advance}, and lets pending promises settle after each timer. */
  async advanceAsync(milliseconds: number): Promise<void> {
    const end = this.elapsed + milliseconds;
    await settlePromises();
    for (;;) {
      const timer = this.nextTimerUntil(end);
      if (timer === undefined) break;
      this.runTimer(timer);
      await settlePromises();
    }
    this.elapsed = end;
    await settlePromises();
  }

  private runTimer(timer: ManualTimer): void {
    this.pop();
    this.elapsed = Math.max(this.elapsed, timer.dueAt);
    timer.callback();
  }

  private nextTimerUntil(end: number): ManualTimer | undefined {
    for (;;) {
      const [next] = this.heap;
      if (next === undefined || next.dueAt > end) return undefined;
      if (!this.cancelled.has(next)) return next;
      this.pop();
    }
  }

  private push(timer: ManualTimer): void {
    const {heap} = this;
    let index = heap.length;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = heap[parent];
      if (above === undefined || isBefore(above, timer)) break;
      heap[index] = above;
      index = parent;
    }
    heap[index] = timer;
  }

  private pop(): void {
    const {heap} = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      const [left, right] = [heap[child], heap[child + 1]];
      if (left === undefined) break;
      let next = left;
      if (right !== undefined && isBefore(right, left)) {
        next = right;
        child++;
      }
      if (isBefore(last, next)) break;
      heap[index] = next;
      index = child;
    }
    heap[index] = last;
  }
}

function isBefore(left: ManualTimer, right: ManualTimer): boolean {
  return (
    left.dueAt < right.dueAt ||
    (left.dueAt === right.dueAt && left.sequence < right.sequence)
  );
}

/** Several turns of the microtask queue, so that chained promises settle. */
async function settlePromises(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await Promise.resolve();
}
