import type {Clock} from '../time/mod.ts';
import type {CrashGuard} from './relay_options.ts';

/** Options of {@link CrashTracker}. */
export interface CrashTrackerOptions {
  clock: Clock;
  /** Tells the other hosts that a request broke an endpoint off. */
  broadcast: (fingerprint: string, incarnation: string) => void;
}

/** Endpoints that one request may break off before it is refused. */
const MAXIMUM_BROKEN_ENDPOINTS = 2;

/** Time for which a request is remembered. */
const RETENTION_MILLISECONDS = 60_000;

/** Most requests that are remembered. */
const MAXIMUM_RECORDS = 10_000;

interface Crash {
  readonly incarnations: Set<string>;
  expiresAt: number;
}

/**
 * Remembers requests during which endpoints broke off, over all hosts. A
 * request that has broken several endpoints off is refused.
 */
export class CrashTracker implements CrashGuard {
  private readonly crashes = new Map<string, Crash>();

  constructor(private readonly options: CrashTrackerOptions) {}

  allows(fingerprint: string): boolean {
    const crash = this.crashes.get(fingerprint);
    if (crash === undefined) return true;
    if (crash.expiresAt < this.options.clock.monotonicMilliseconds()) {
      this.crashes.delete(fingerprint);
      return true;
    }
    return crash.incarnations.size < MAXIMUM_BROKEN_ENDPOINTS;
  }

  recordCrash(fingerprint: string, incarnation: string): void {
    this.receive(fingerprint, incarnation);
    this.options.broadcast(fingerprint, incarnation);
  }

  /** Takes what another host has seen. */
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
    if (this.crashes.size >= MAXIMUM_RECORDS && oldest !== undefined) {
      this.crashes.delete(oldest);
    }
    this.crashes.set(fingerprint, {
      incarnations: new Set([incarnation]),
      expiresAt,
    });
  }
}
