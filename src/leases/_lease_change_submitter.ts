import type {Change, ChangeLog} from '../contracts/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {PeerIdentity} from '../peers/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Options of {@link LeaseChangeSubmitter}. */
export interface LeaseChangeSubmitterOptions {
  self: PeerIdentity;
  changeLog: ChangeLog;
  clock: Clock;
  logger: EventLogger;
  /** Milliseconds without changes after the table was unavailable. */
  backoffMilliseconds: number;
  /** Most changes that are submitted at one time. */
  maximumConcurrent: number;
  /** Called when a submission has ended. */
  onSettled: () => void;
}

/** Submits changes of leases: one at a time for a scope, and few in all. */
export class LeaseChangeSubmitter {
  private readonly running = new Set<string>();
  private retryAt = -Infinity;
  private changeCount = 0;

  constructor(private readonly options: LeaseChangeSubmitterOptions) {}

  /** Whether no change is being submitted. */
  get isIdle(): boolean {
    return this.running.size === 0;
  }

  /**
   * Submits a change, unless one of the scope is being submitted, too many
   * are, or the table was unavailable just before.
   *
   * @param onCommitted Called when the change is committed.
   */
  submit(scope: string, change: Change, onCommitted: () => void): void {
    const {clock, logger, maximumConcurrent, onSettled} = this.options;
    if (this.running.has(scope) || this.running.size >= maximumConcurrent)
      return;
    if (clock.monotonicMilliseconds() < this.retryAt) return;
    this.running.add(scope);
    void this.commit(change)
      .then(committed => {
        if (committed) onCommitted();
      })
      .catch((error: unknown) => {
        const reason = String(error);
        logger.event('unexpectedFailure', {step: 'lease', scope, reason});
        this.backOff();
      })
      .finally(() => {
        this.running.delete(scope);
        onSettled();
      });
  }

  private async commit(change: Change): Promise<boolean> {
    const {hostId, incarnation} = this.options.self;
    const changeId = `lease-${hostId}-${incarnation}-${++this.changeCount}`;
    const result = await this.options.changeLog.submit(
      changeId,
      hostId,
      change,
    );
    switch (result.kind) {
      case 'committed':
        return true;
      case 'rejected':
        return false;
      case 'unavailable':
      case 'uncertain':
        this.backOff();
        return false;
    }
  }

  private backOff(): void {
    const {clock, backoffMilliseconds} = this.options;
    this.retryAt = clock.monotonicMilliseconds() + backoffMilliseconds;
  }
}
