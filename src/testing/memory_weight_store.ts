import type {CancelTimer, Clock} from '../time/mod.ts';

interface Transfer {
  remaining: number;
  readonly milliseconds: number;
  readonly finish: () => void;
}

/** Options of {@link MemoryWeightStore}. */
export interface MemoryWeightStoreOptions {
  clock: Clock;
  /** Transfers started a second. @default 3 */
  loadsPerSecond?: number;
  /** Transfers at full speed at once; more share that speed. @default 4 */
  concurrentLoads?: number;
}

/** Rate-limited weight store in memory, on a given clock. */
export class MemoryWeightStore {
  /** Most transfers at once so far. */
  mostTransfers = 0;
  private readonly transfers = new Set<Transfer>();
  private speed = 1;
  private advancedAt = 0;
  private nextStartAt = 0;
  private cancelTimer: CancelTimer = () => undefined;

  constructor(private readonly options: MemoryWeightStoreOptions) {}

  /** Changes the speed of all transfers; 0.1 is a tenth. */
  setSpeed(speed: number): void {
    this.advance();
    this.speed = speed;
    this.schedule();
  }

  /**
   * Starts a transfer that takes `milliseconds` at full speed.
   *
   * @returns A function that tells which share of it is done.
   */
  fetch(milliseconds: number, finish: () => void): () => number {
    const {clock, loadsPerSecond = 3} = this.options;
    const transfer = {remaining: milliseconds, milliseconds, finish};
    const now = clock.monotonicMilliseconds();
    const startAt = Math.max(now, this.nextStartAt);
    this.nextStartAt = startAt + 1000 / loadsPerSecond;
    clock.startTimer(startAt - now, () => {
      this.advance();
      this.transfers.add(transfer);
      this.mostTransfers = Math.max(this.mostTransfers, this.transfers.size);
      this.schedule();
    });
    return () => {
      this.advance();
      return 1 - transfer.remaining / transfer.milliseconds;
    };
  }

  private advance(): void {
    const now = this.options.clock.monotonicMilliseconds();
    const done = (now - this.advancedAt) * this.share();
    for (const transfer of this.transfers) transfer.remaining -= done;
    this.advancedAt = now;
  }

  private share(): number {
    const {concurrentLoads = 4} = this.options;
    return Math.min(1, concurrentLoads / this.transfers.size) * this.speed;
  }

  private schedule(): void {
    this.cancelTimer();
    if (this.transfers.size === 0) return;
    const least = Math.min(...[...this.transfers].map(each => each.remaining));
    const delay = Math.max(0, least) / this.share();
    this.cancelTimer = this.options.clock.startTimer(delay, () => {
      this.advance();
      for (const transfer of this.transfers) {
        if (transfer.remaining > 1e-6) continue;
        this.transfers.delete(transfer);
        transfer.finish();
      }
      this.schedule();
    });
  }
}
