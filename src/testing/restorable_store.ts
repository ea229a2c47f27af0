import {failure, success} from '../errors/mod.ts';
import type {CommitOutcome, Row, RowChange, RowPage} from '../stores/mod.ts';

interface StoredRow extends Row {
  readonly table: string;
}

/** Content of a {@link RestorableStore} at one time. */
export interface StoreCopy {
  readonly rows: ReadonlyMap<string, StoredRow>;
  readonly version: number;
}

/** Store in memory that can come back from an older copy. */
export class RestorableStore {
  era = 0;
  version = 0;
  isDown = false;
  private rows = new Map<string, StoredRow>();

  /** Writes a row as the operator or an endpoint would. */
  put(table: string, key: string, value: string): void {
    this.version++;
    const row = {table, key, value: Buffer.from(value), version: this.version};
    this.rows.set(`${table} ${key}`, row);
  }

  /** Removes a row as the operator would; readers of changes get it without a value. */
  remove(table: string, key: string): void {
    this.version++;
    const row = {table, key, value: undefined, version: this.version};
    this.rows.set(`${table} ${key}`, row);
  }

  /** Takes a copy. */
  copy(): StoreCopy {
    return {rows: new Map(this.rows), version: this.version};
  }

  /** Comes back from a copy. */
  restore(copy: StoreCopy): void {
    this.rows = new Map(copy.rows);
    this.version = copy.version;
    this.era++;
  }

  /** Rows of a table that were written after a version. */
  read(table: string, afterVersion: number, now: number) {
    if (this.isDown) return this.fail('unavailable');
    if (afterVersion > this.version) return this.fail('history_lost');
    const page: RowPage = {
      rows: [...this.rows.values()].filter(
        row =>
          row.table === table &&
          row.version > afterVersion &&
          (row.value !== undefined || afterVersion > 0),
      ),
      version: this.version,
      era: this.era,
      storeMilliseconds: now,
    };
    return success(page);
  }

  /** Applies one conditional change. */
  commit(changes: readonly RowChange[], now: number) {
    if (this.isDown) return this.fail('unavailable');
    const [change] = changes;
    if (change === undefined) throw new Error('A commit needs a change');
    const {table, key, value, expectedVersion} = change;
    const name = `${table} ${key}`;
    const row = this.rows.get(name);
    const {era} = this;
    if (
      expectedVersion !== undefined &&
      expectedVersion !== (row?.version ?? 0)
    )
      return success<CommitOutcome>({
        kind: 'conflict',
        rows: row === undefined ? [] : [row],
        era,
      });
    this.version++;
    if (value === undefined) this.rows.delete(name);
    else this.rows.set(name, {table, key, value, version: this.version});
    return success<CommitOutcome>({
      kind: 'committed',
      version: this.version,
      era,
      storeMilliseconds: now,
    });
  }

  private fail(kind: 'unavailable' | 'history_lost') {
    return failure({
      kind,
      step: 'read' as const,
      peer: 'store',
      reason: kind,
      mayHaveHappened: false,
    });
  }
}
