import type {Endpoint} from '../fleet/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';

/** Options of {@link CrashEvidence}. */
export interface CrashEvidenceOptions {
  clock: Clock;
  /** Whether connections to an endpoint are forbidden. */
  isEvacuated: (endpoint: Endpoint) => boolean;
  /** Whether a new connection to an address is refused. */
  isConnectionRefused: (address: string) => Promise<boolean>;
  /** Whether the endpoint's id belongs to a newer process. */
  isReplaced: (endpoint: Endpoint) => boolean;
}

/**
 * Delay before the second check: a process that ends may close its connections
 * before its listening socket.
 */
const SECOND_CHECK_MILLISECONDS = 50;

/** Number of endpoints known to have ended; the oldest is forgotten. */
const MAXIMUM_ENDED_ENDPOINTS = 1000;

/**
 * Tells an endpoint that has ended from one that only lost a connection. All
 * requests that break on the same process share one check.
 */
export class CrashEvidence {
  private readonly pending = new Map<string, Promise<boolean>>();
  private readonly ended = new Set<string>();

  constructor(private readonly options: CrashEvidenceOptions) {}

  /** Whether the process has ended without having announced it. */
  async hasCrashed(endpoint: Endpoint): Promise<boolean> {
    const {incarnation} = endpoint;
    if (endpoint.record.state === 'leaving') return false;
    if (this.ended.has(incarnation)) return true;
    let check = this.pending.get(incarnation);
    if (check === undefined) {
      check = this.check(endpoint);
      this.pending.set(incarnation, check);
    }
    const hasEnded = await check;
    this.pending.delete(incarnation);
    if (hasEnded) this.remember(incarnation);
    return hasEnded;
  }

  private async check(endpoint: Endpoint): Promise<boolean> {
    if (await this.hasEnded(endpoint)) return true;
    await sleep(this.options.clock, SECOND_CHECK_MILLISECONDS);
    return this.hasEnded(endpoint);
  }

  private async hasEnded(endpoint: Endpoint): Promise<boolean> {
    const {isConnectionRefused, isEvacuated, isReplaced} = this.options;
    if (isReplaced(endpoint)) return true;
    if (isEvacuated(endpoint)) return false;
    return isConnectionRefused(endpoint.record.address);
  }

  private remember(incarnation: string): void {
    const [oldest] = this.ended;
    if (this.ended.size >= MAXIMUM_ENDED_ENDPOINTS && oldest !== undefined)
      this.ended.delete(oldest);
    this.ended.add(incarnation);
  }
}
