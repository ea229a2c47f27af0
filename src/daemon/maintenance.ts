import type {ChangeLog, LogCompactor} from '../contracts/mod.ts';
import {type Membership, rendezvousOrder} from '../membership/mod.ts';
import type {ExpiredRowRemover} from '../stores/mod.ts';
import type {RequestPath} from '../requests/mod.ts';
import {sleep} from '../time/mod.ts';
import type {HostContext} from './host_context.ts';

/** Options of {@link Maintenance}. */
export interface MaintenanceOptions {
  context: HostContext;
  changeLog: ChangeLog;
  membership: Membership;
  compactor: LogCompactor;
  /** Removers of old markers and of old records of committed change ids. */
  removers: readonly ExpiredRowRemover[];
  requestPath: RequestPath;
  /** Milliseconds between two runs. @default 60000 */
  intervalMilliseconds?: number;
}

const DEFAULT_INTERVAL_MILLISECONDS = 60_000;
const RUNS_PER_CLAIM_REMOVAL = 60;

/**
 * Compacts the log and removes old rows at an interval. Only the running member
 * that rendezvous hashing ranks first does this, to save work: each job is safe
 * to run on several hosts at once.
 */
export class Maintenance {
  private readonly stopController = new AbortController();
  private runCount = 0;

  constructor(private readonly options: MaintenanceOptions) {}

  /** Starts the periodic runs. */
  start(): void {
    void this.runPeriodically();
  }

  /** Stops the periodic runs; a run in progress is completed. */
  stop(): void {
    this.stopController.abort();
  }

  private async runPeriodically(): Promise<void> {
    const {clock, logger} = this.options.context;
    const interval =
      this.options.intervalMilliseconds ?? DEFAULT_INTERVAL_MILLISECONDS;
    const {signal} = this.stopController;
    for (;;) {
      await sleep(clock, interval, signal);
      if (signal.aborted) return;
      if (!this.isMaintenanceHost()) continue;
      try {
        await this.run();
      } catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        logger.event('unexpectedFailure', {step: 'maintenance', reason});
      }
    }
  }

  private async run(): Promise<void> {
    await this.options.compactor.run();
    for (const remover of this.options.removers) await remover.run();
    if (this.runCount++ % RUNS_PER_CLAIM_REMOVAL === 0) {
      await this.options.requestPath.removeExpiredClaims();
    }
  }

  /** Whether this host ranks first among the members not seen stopped. */
  private isMaintenanceHost(): boolean {
    const {changeLog, context, membership} = this.options;
    if (context.isDraining || !membership.view.isConfirmed()) return false;
    const runningHostIds = [...changeLog.authority.members.keys()].filter(
      hostId => membership.stoppedMembers.lastSeenStopped(hostId) === undefined,
    );
    return (
      rendezvousOrder('maintenance', runningHostIds)[0] === context.self.hostId
    );
  }
}
