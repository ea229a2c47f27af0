import type {Result} from '../errors/mod.ts';

/** A row of a versioned table. */
export interface Row {
  readonly key: string;
  /** Content of the row; undefined when the row was deleted. */
  readonly value: Buffer | undefined;
  /**
   * Version of the transaction that wrote the row; increases across all tables
   * within an era of the store.
   */
  readonly version: number;
}

/** Rows read at one version of the store. */
export interface RowPage {
  readonly rows: readonly Row[];
  /** Newest version of the store when the page was read. */
  readonly version: number;
  /** Increases each time the store comes back from an older copy. */
  readonly era: number;
  /** Time of the store's steady clock in the response, in milliseconds. */
  readonly storeMilliseconds: number;
}

/** Failure of a call to the store. */
export interface RowStoreError {
  readonly kind: 'unavailable' | 'refused' | 'history_lost' | 'malformed';
  readonly step: 'read' | 'follow' | 'commit';
  readonly peer: string;
  readonly reason: string;
  /** True when the call may have taken effect or may still do so. */
  readonly mayHaveHappened: boolean;
}

/** A conditional write or deletion of one row. */
export interface RowChange {
  readonly table: string;
  readonly key: string;
  /** New content; undefined deletes the row. */
  readonly value: Buffer | undefined;
  /** Required version; 0 when the row must not exist; undefined for no condition. */
  readonly expectedVersion: number | undefined;
}

/** Outcome of a transaction to which the store responded. */
export type CommitOutcome =
  | {
      readonly kind: 'committed';
      readonly version: number;
      readonly era: number;
      /** Time of the store's steady clock in the response, in milliseconds. */
      readonly storeMilliseconds: number;
    }
  | {
      readonly kind: 'conflict';
      readonly rows: readonly Row[];
      readonly era: number;
    };

/** Options of {@link RowStore.followTable}. */
export interface FollowOptions {
  /** Maximum wait in milliseconds, after which an empty page is returned. */
  readonly waitMilliseconds: number;
  /** Time-out in addition to the wait, in milliseconds. @default that of all calls */
  readonly timeoutMilliseconds?: number | undefined;
}

/** Tables with versioned rows, conditional writes and change feeds. */
export interface RowStore {
  /** Reads all rows of a table. */
  readTable(table: string): Promise<Result<RowPage, RowStoreError>>;
  /**
   * Waits for rows that changed after a version.
   */
  followTable(
    table: string,
    afterVersion: number,
    options: FollowOptions,
  ): Promise<Result<RowPage, RowStoreError>>;
  /** Applies the changes atomically. */
  commit(
    changes: readonly RowChange[],
  ): Promise<Result<CommitOutcome, RowStoreError>>;
}
