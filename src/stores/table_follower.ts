import type {EventLogger} from '../observability/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import type {Row, RowStore} from './row_store.ts';

/** Options of {@link TableFollower}. */
export interface TableFollowerOptions {
  store: RowStore;
  table: string;
  clock: Clock;
  logger: EventLogger;
  /** Longest wait of one call for a change. */
  waitMilliseconds: number;
  /** Pause after each call; bounds the calls of a table that changes often. */
  pauseMilliseconds: () => number;
  /** Receives all rows of the table. */
  onSnapshot: (rows: readonly Row[], version: number) => void;
  /** Receives rows that changed; removed rows have no value. */
  onChanges: (rows: readonly Row[], version: number) => void;
}

/** Pause before a failed call is made again; a few calls a second at most. */
const RETRY_MILLISECONDS = 250;

/** Follows the rows of one table, through outages of the store. */
export class TableFollower {
  private readonly stopping = new AbortController();
  private version: number | undefined;
  private lostAt: number | undefined;
  private regainedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: TableFollowerOptions) {}

  /** Monotonic time at which the store answered again after an outage. */
  get lastRecoveredAt(): number {
    return this.regainedAt;
  }

  /** Follows the table until {@link stop}. */
  async run(): Promise<void> {
    const {clock, pauseMilliseconds} = this.options;
    const {signal} = this.stopping;
    while (!signal.aborted) {
      const succeeded = await this.step();
      const pause = succeeded ? pauseMilliseconds() : RETRY_MILLISECONDS;
      if (pause > 0) await sleep(clock, pause, signal);
    }
  }

  /** Stops after the call that is under way. */
  stop(): void {
    this.stopping.abort();
  }

  private async step(): Promise<boolean> {
    const {store, table, waitMilliseconds} = this.options;
    const known = this.version;
    const page =
      known === undefined
        ? await store.readTable(table)
        : await store.followTable(table, known, waitMilliseconds);
    if (this.stopping.signal.aborted) return true;
    if (!page.ok) {
      this.noteFailure(page.error.kind, page.error.reason);
      return page.error.kind === 'history_lost';
    }
    this.noteSuccess();
    const {rows, version} = page.value;
    this.version = version;
    if (known === undefined) this.options.onSnapshot(rows, version);
    else if (rows.length > 0) this.options.onChanges(rows, version);
    return true;
  }

  private noteFailure(kind: string, reason: string): void {
    const {logger, table, clock} = this.options;
    if (kind === 'history_lost') {
      logger.event('tableHistoryLost', {table, after: this.version});
      this.version = undefined;
      return;
    }
    if (this.lostAt !== undefined) return;
    this.lostAt = clock.monotonicMilliseconds();
    logger.event('storeLost', {table, kind, reason, version: this.version});
  }

  private noteSuccess(): void {
    const {logger, table, clock} = this.options;
    if (this.lostAt === undefined) return;
    this.regainedAt = clock.monotonicMilliseconds();
    logger.event('storeRegained', {
      table,
      lostForMilliseconds: Math.round(this.regainedAt - this.lostAt),
    });
    this.lostAt = undefined;
  }
}
