import type {Result} from '../errors/mod.ts';

/** A row of a versioned table. */
export interface Row {
  readonly key: string;
  /** Content of the row; undefined when the row was removed. */
  readonly value: Buffer | undefined;
  /** Version of the transaction that wrote the row; grows over all tables. */
  readonly version: number;
}

/** Rows as of one version of the store. */
export interface RowPage {
  readonly rows: readonly Row[];
  /** Newest version of the store when the page was read. */
  readonly version: number;
}

/** Why a call to the store has no usable answer. */
export interface RowStoreError {
  readonly kind: 'unavailable' | 'refused' | 'history_lost' | 'malformed';
  readonly step: 'read' | 'follow' | 'commit';
  readonly peer: string;
  readonly reason: string;
  /** True when the call may have taken effect, or may take effect later. */
  readonly mayHaveHappened: boolean;
}

/** A row that a transaction writes or removes, and the version it must have. */
export interface RowChange {
  readonly table: string;
  readonly key: string;
  /** Undefined removes the row. */
  readonly value: Buffer | undefined;
  /** Version that the row must have; 0 when it must not exist; undefined for any. */
  readonly expectedVersion: number | undefined;
}

/** Outcome of a transaction that the store answered. */
export type CommitOutcome =
  | {readonly kind: 'committed'; readonly version: number}
  | {readonly kind: 'conflict'; readonly rows: readonly Row[]};

/** Tables with versioned rows, conditional writes and feeds of changes. */
export interface RowStore {
  /** Reads all rows of a table. */
  readTable(table: string): Promise<Result<RowPage, RowStoreError>>;
  /**
   * Waits for rows that changed after a version.
   *
   * @param waitMilliseconds Longest wait; the page is then empty.
   */
  followTable(
    table: string,
    afterVersion: number,
    waitMilliseconds: number,
  ): Promise<Result<RowPage, RowStoreError>>;
  /** Applies all changes, or none. */
  commit(
    changes: readonly RowChange[],
  ): Promise<Result<CommitOutcome, RowStoreError>>;
}
