import type {EventLogger} from '../observability/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import type {Row, RowStore} from './row_store.ts';

/** Options of {@link TableFollower}. */
export interface TableFollowerOptions {
  store: RowStore;
  table: string;
  clock: Clock;
  logger: EventLogger;
  /** Maximum time in milliseconds that one call waits for a change. */
  waitMilliseconds: number;
  /** Delay after each call; limits the call rate on frequently changing tables. */
  pauseMilliseconds: () => number;
  /** Receives all rows of the table at the start and after its history was lost. */
  onSnapshot: (rows: readonly Row[], version: number) => void;
  /** Receives changed rows; deleted rows have no value. */
  onChanges: (rows: readonly Row[], version: number) => void;
}

/** Delay after a failed call; limits retries to a few per second. */
const RETRY_DELAY_MILLISECONDS = 250;

/** Follows the changes of one table and resumes after outages of the store. */
export class TableFollower {
  private readonly stopController = new AbortController();
  private version: number | undefined;
  private unavailableSince: number | undefined;
  private recoveredAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: TableFollowerOptions) {}

  /** Monotonic time at which the store last recovered from an outage. */
  get lastRecoveredAt(): number {
    return this.recoveredAt;
  }

  /** Follows the table until {@link stop}. */
  async run(): Promise<void> {
    const {clock, pauseMilliseconds} = this.options;
    const {signal} = this.stopController;
    while (!signal.aborted) {
      const succeeded = await this.poll();
      const pause = succeeded ? pauseMilliseconds() : RETRY_DELAY_MILLISECONDS;
      if (pause > 0) await sleep(clock, pause, signal);
    }
  }

  /** Stops once the current call has ended. */
  stop(): void {
    this.stopController.abort();
  }

  private async poll(): Promise<boolean> {
    const {store, table, waitMilliseconds} = this.options;
    const knownVersion = this.version;
    const page =
      knownVersion === undefined
        ? await store.readTable(table)
        : await store.followTable(table, knownVersion, waitMilliseconds);
    if (this.stopController.signal.aborted) return true;
    if (!page.ok) {
      this.handleFailure(page.error.kind, page.error.reason);
      return page.error.kind === 'history_lost';
    }
    this.handleSuccess();
    const {rows, version} = page.value;
    this.version = version;
    if (knownVersion === undefined) this.options.onSnapshot(rows, version);
    else if (rows.length > 0) this.options.onChanges(rows, version);
    return true;
  }

  private handleFailure(kind: string, reason: string): void {
    const {logger, table, clock} = this.options;
    if (kind === 'history_lost') {
      logger.event('tableHistoryLost', {table, after: this.version});
      this.version = undefined;
      return;
    }
    if (this.unavailableSince !== undefined) return;
    this.unavailableSince = clock.monotonicMilliseconds();
    logger.event('storeLost', {table, kind, reason, version: this.version});
  }

  private handleSuccess(): void {
    const {logger, table, clock} = this.options;
    if (this.unavailableSince === undefined) return;
    this.recoveredAt = clock.monotonicMilliseconds();
    logger.event('storeRegained', {
      table,
      lostForMilliseconds: Math.round(this.recoveredAt - this.unavailableSince),
    });
    this.unavailableSince = undefined;
  }
}
