import type {Clock} from '../time/mod.ts';

/** A run that an engine is asked for. */
export interface EngineRun {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly runMilliseconds: number;
}

/** Length of the queue relative to the slots, as engines of the platform have it. */
const QUEUE_FACTOR = 3;

interface Queued {
  readonly run: EngineRun;
  readonly begin: () => void;
}

/** Engine with slots and a queue by priority, which rejects requests when it is full. */
export class SimulatedEngine {
  running = 0;
  /** Highest number of requests in the queue. */
  longestQueue = 0;
  private readonly queue: Queued[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly slots: number,
  ) {}

  /** @returns Whether the request has run; false if it was rejected. */
  async run(run: EngineRun, onStart: () => void): Promise<boolean> {
    if (this.running >= this.slots) {
      if (this.queue.length >= this.slots * QUEUE_FACTOR) return false;
      await new Promise<void>(begin => this.enqueue({run, begin}));
    } else this.running++;
    onStart();
    await new Promise<void>(resolve => {
      this.clock.startTimer(run.runMilliseconds, resolve);
    });
    // The slot passes to the next request in the queue.
    const next = this.queue.shift();
    if (next === undefined) this.running--;
    else next.begin();
    return true;
  }

  private enqueue(entry: Queued): void {
    const index = this.queue.findIndex(
      ({run}) => run.priority > entry.run.priority,
    );
    this.queue.splice(index < 0 ? this.queue.length : index, 0, entry);
    this.longestQueue = Math.max(this.longestQueue, this.queue.length);
  }
}
