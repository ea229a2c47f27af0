import type {Row} from './row_store.ts';

/** Changes of a table that one host has read from the store, for its peers. */
export interface TableUpdate {
  readonly table: string;
  /** Era of the store to which the versions belong. */
  readonly era: number;
  /** Version up to which the receiver must know the table to apply the rows. */
  readonly afterVersion: number;
  /** Whether the rows are the whole table, whatever the receiver knows. */
  readonly isComplete: boolean;
  readonly version: number;
  readonly rows: readonly Row[];
  /** Time of the store's clock at which the table was known to be at `version`. */
  readonly knownAt: number;
  /**
   * Time of the store's clock at which the reader regained the store; undefined if
   * it never lost it.
   */
  readonly regainedAt: number | undefined;
}
