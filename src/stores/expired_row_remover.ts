import {z} from 'zod';
import {failure, type Result, success} from '../errors/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {PlatformError} from './platform_error.ts';
import type {TableRow, TableService} from './table_service.ts';

/** Options of {@link ExpiredRowRemover}. */
export interface ExpiredRowRemoverOptions {
  table: TableService;
  clock: Clock;
  /** Prefix of the rows' keys; their values carry the time as `at`. */
  prefix: string;
  /**
   * Age at which rows are removed. For markers it must exceed the time limit
   * of the writer, the time-out of a commit and the difference between the
   * hosts' wall clocks. @default 3600000
   */
  ageMilliseconds?: number;
  /** Rows in one transaction. @default 50 */
  rowsPerTransaction?: number;
  /** Largest number of rows looked at in one run. @default 1000 */
  rowsPerRun?: number;
}

/** What one run of {@link ExpiredRowRemover} did. */
export interface RemovalResult {
  readonly removed: number;
  /** Whether the run reached the last row under the prefix. */
  readonly finished: boolean;
}

const DEFAULT_AGE_MILLISECONDS = 3_600_000;
const DEFAULT_ROWS_PER_TRANSACTION = 50;
const DEFAULT_ROWS_PER_RUN = 1000;

const rowSchema = z.object({at: z.iso.datetime()});

/**
 * Removes rows of a certain age, such as markers that no retry needs any more.
 * Each run continues where the one before ended, so that the cost of a run is
 * bounded. Several hosts may run it at the same time.
 */
export class ExpiredRowRemover {
  private after: string | undefined;

  constructor(private readonly options: ExpiredRowRemoverOptions) {}

  /** Looks at the next rows and removes the old ones. */
  async run(): Promise<Result<RemovalResult, PlatformError>> {
    const {table, prefix} = this.options;
    const limit = this.options.rowsPerRun ?? DEFAULT_ROWS_PER_RUN;
    const rows = await table.scan(prefix, {
      limit,
      ...(this.after === undefined ? {} : {after: this.after}),
    });
    if (!rows.ok) return rows;
    const old = rows.value.filter(row => this.isOld(row));
    const size =
      this.options.rowsPerTransaction ?? DEFAULT_ROWS_PER_TRANSACTION;
    let removed = 0;
    for (let start = 0; start < old.length; start += size) {
      const batch = old.slice(start, start + size);
      const result = await this.remove(batch);
      if (!result.ok) return result;
      removed += result.value;
    }
    const finished = rows.value.length < limit;
    this.after = finished ? undefined : rows.value.at(-1)?.key;
    return success({removed, finished});
  }

  private async remove(
    rows: readonly TableRow[],
  ): Promise<Result<number, PlatformError>> {
    // A row that was written again since the scan keeps its place.
    const result = await this.options.table.commit({
      conditions: rows.map(({key, version}) => ({key, version})),
      writes: rows.map(({key}) => ({kind: 'delete', key})),
    });
    switch (result.kind) {
      case 'committed':
        return success(rows.length);
      case 'conflict': {
        const changed = new Set(result.keys);
        const rest = rows.filter(row => !changed.has(row.key));
        return rest.length === 0 || rest.length === rows.length
          ? success(0)
          : this.remove(rest);
      }
      case 'unavailable':
        return failure(result.error);
      case 'uncertain': {
        const {peer, reason} = result;
        return failure({kind: 'unavailable', step: 'commit', peer, reason});
      }
    }
  }

  private isOld(row: TableRow): boolean {
    const parsed = rowSchema.safeParse(row.value);
    if (!parsed.success) return false;
    const age = this.options.ageMilliseconds ?? DEFAULT_AGE_MILLISECONDS;
    const writtenAt = Date.parse(parsed.data.at);
    return this.options.clock.now().getTime() - writtenAt >= age;
  }
}
