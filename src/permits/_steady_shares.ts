import type {Clock} from '../time/mod.ts';
import {SteadyShare} from './_steady_share.ts';

/** Options of {@link SteadyShares}. */
export interface SteadySharesOptions {
  clock: Clock;
  /** Whether a process is still cold. */
  isCold: (incarnation: string) => boolean;
  /** Part of the limit of a process that this host grants now, 0 to 1. */
  share: (incarnation: string) => number;
}

/** Interval between observations, far below the time for which a share must be held. */
const INTERVAL_MILLISECONDS = 100;

/** Observes the parts of cold processes' limits that this host may grant. */
export class SteadyShares {
  private readonly shares = new Map<string, SteadyShare>();
  private isRunning = false;

  constructor(private readonly options: SteadySharesOptions) {}

  /** Begins to observe the share of a process. */
  start(incarnation: string): void {
    if (!this.shares.has(incarnation))
      this.shares.set(incarnation, new SteadyShare());
    this.observe(incarnation);
    if (this.isRunning) return;
    this.isRunning = true;
    this.scheduleNext();
  }

  /** The part that this host may grant now. */
  lowest(incarnation: string): number {
    this.observe(incarnation);
    return this.shares.get(incarnation)?.lowest ?? 0;
  }

  private observe(incarnation: string): void {
    const {clock, share} = this.options;
    this.shares
      .get(incarnation)
      ?.observe(clock.monotonicMilliseconds(), share(incarnation));
  }

  private scheduleNext(): void {
    this.options.clock.startTimer(INTERVAL_MILLISECONDS, () => {
      for (const incarnation of this.shares.keys()) {
        if (this.options.isCold(incarnation)) this.observe(incarnation);
        else this.shares.delete(incarnation);
      }
      this.isRunning = this.shares.size > 0;
      if (this.isRunning) this.scheduleNext();
    });
  }
}
