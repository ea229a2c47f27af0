import {z} from 'zod';
import {failure, type Result, success} from '../errors/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {PlatformError} from './platform_error.ts';
import type {TableRow, TableService} from './table_service.ts';

/** Options of {@link ExpiredRowRemover}. */
export interface ExpiredRowRemoverOptions {
  table: TableService;
  clock: Clock;
  /** Key prefix of the rows; the field `at` of their values is the write time. */
  prefix: string;
  /**
   * Age in milliseconds at which rows are removed. For transaction markers it
   * must exceed the writer's time limit, the timeout of a commit and the clock
   * skew between hosts. @default 3600000
   */
  ageMilliseconds?: number;
  /** Maximum number of rows deleted in one transaction. @default 50 */
  rowsPerTransaction?: number;
  /** Maximum number of rows scanned in one run. @default 1000 */
  rowsPerRun?: number;
}

/** Result of one run of {@link ExpiredRowRemover}. */
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
 * Deletes rows that have reached a given age, such as transaction markers that
 * no retry can need any more. Each run scans a limited number of rows and
 * continues where the previous run ended. Several hosts may run it concurrently.
 */
export class ExpiredRowRemover {
  private after: string | undefined;

  constructor(private readonly options: ExpiredRowRemoverOptions) {}

  /** Scans the next rows and deletes the expired ones. */
  async run(): Promise<Result<RemovalResult, PlatformError>> {
    const {table, prefix} = this.options;
    const limit = this.options.rowsPerRun ?? DEFAULT_ROWS_PER_RUN;
    const rows = await table.scan(prefix, {
      limit,
      ...(this.after === undefined ? {} : {after: this.after}),
    });
    if (!rows.ok) return rows;
    const expired = rows.value.filter(row => this.isExpired(row));
    const batchSize =
      this.options.rowsPerTransaction ?? DEFAULT_ROWS_PER_TRANSACTION;
    let removed = 0;
    for (let start = 0; start < expired.length; start += batchSize) {
      const batch = expired.slice(start, start + batchSize);
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
    // The conditions keep rows that were rewritten after the scan.
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

  private isExpired(row: TableRow): boolean {
    const parsed = rowSchema.safeParse(row.value);
    if (!parsed.success) return false;
    const age = this.options.ageMilliseconds ?? DEFAULT_AGE_MILLISECONDS;
    const writtenAt = Date.parse(parsed.data.at);
    return this.options.clock.now().getTime() - writtenAt >= age;
  }
}
