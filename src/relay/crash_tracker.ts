import type {Clock} from '../time/mod.ts';
import type {CrashGuard} from './relay_options.ts';

/** Options of {@link CrashTracker}. */
export interface CrashTrackerOptions {
  clock: Clock;
  /** Tells the other hosts that an endpoint failed while running a request. */
  broadcast: (fingerprint: string, incarnation: string) => void;
}

/** Number of crashed endpoints from which on a request is refused. */
const MAXIMUM_CRASHED_ENDPOINTS = 2;

/** Time for which a request is tracked after its last crash. */
const RETENTION_MILLISECONDS = 60_000;

/** Maximum number of tracked requests; the oldest is evicted. */
const MAXIMUM_ENTRIES = 10_000;

interface CrashEntry {
  readonly incarnations: Set<string>;
  expiresAt: number;
}

/**
 * Tracks requests during which endpoints crashed, on all hosts. A request that
 * crashed several endpoints is refused.
 */
export class CrashTracker implements CrashGuard {
  private readonly crashes = new Map<string, CrashEntry>();

  constructor(private readonly options: CrashTrackerOptions) {}

  allows(fingerprint: string): boolean {
    const crash = this.crashes.get(fingerprint);
    if (crash === undefined) return true;
    if (crash.expiresAt < this.options.clock.monotonicMilliseconds()) {
      this.crashes.delete(fingerprint);
      return true;
    }
    return crash.incarnations.size < MAXIMUM_CRASHED_ENDPOINTS;
  }

  recordCrash(fingerprint: string, incarnation: string): void {
    this.receive(fingerprint, incarnation);
    this.options.broadcast(fingerprint, incarnation);
  }

  /** Records a crash that another host reported. */
  receive(fingerprint: string, incarnation: string): void {
    const expiresAt =
      this.options.clock.monotonicMilliseconds() + RETENTION_MILLISECONDS;
    const crash = this.crashes.get(fingerprint);
    if (crash !== undefined) {
      crash.incarnations.add(incarnation);
      crash.expiresAt = expiresAt;
      return;
    }
    const [oldest] = this.crashes.keys();
    if (this.crashes.size >= MAXIMUM_ENTRIES && oldest !== undefined) {
      this.crashes.delete(oldest);
    }
    this.crashes.set(fingerprint, {
      incarnations: new Set([incarnation]),
      expiresAt,
    });
  }
}
