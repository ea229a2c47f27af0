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
  /** Milliseconds without submissions after the table was unavailable. */
  backoffMilliseconds: number;
  /** Maximum number of concurrent submissions. */
  maximumConcurrent: number;
  /** Called when a submission has completed, whatever its result. */
  onSettled: () => void;
}

/**
 * Submits lease changes, one at a time per scope and a limited number
 * concurrently.
 */
export class LeaseChangeSubmitter {
  private readonly running = new Set<string>();
  private retryAt = -Infinity;
  private changeCount = 0;

  constructor(private readonly options: LeaseChangeSubmitterOptions) {}

  /** Whether no submission is in progress. */
  get isIdle(): boolean {
    return this.running.size === 0;
  }

  /**
   * Submits a change. Does nothing if a submission for the scope is in
   * progress, the maximum number of submissions is reached, or the table was
   * unavailable within the backoff time.
   *
   * @param onCommitted Called when the change has been committed.
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
