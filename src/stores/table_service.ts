import type {Result} from '../errors/mod.ts';
import type {JsonValue} from './json_value.ts';
import type {PlatformError} from './platform_error.ts';

/** A row of the table service. */
export interface TableRow {
  readonly key: string;
  /** Starts at 1 and increases with each write of the row. */
  readonly version: number;
  readonly value: JsonValue;
}

/** A condition that must hold for a transaction to be committed. */
export interface TableCondition {
  readonly key: string;
  /** Required version of the row; null when the row must not exist. */
  readonly version: number | null;
}

/** A write within a transaction. */
export type TableWrite =
  | {readonly kind: 'put'; readonly key: string; readonly value: JsonValue}
  | {readonly kind: 'delete'; readonly key: string};

/** Writes that are applied atomically if all conditions hold. */
export interface TableTransaction {
  readonly conditions: readonly TableCondition[];
  readonly writes: readonly TableWrite[];
}

/** Outcome of submitting a transaction once. */
export type CommitResult =
  | {readonly kind: 'committed'}
  | {
      readonly kind: 'conflict';
      /** Keys of all conditions that did not hold. */
      readonly keys: readonly string[];
    }
  | {readonly kind: 'unavailable'; readonly error: PlatformError}
  | {
      /** No response: the transaction may or may not be committed, now or later. */
      readonly kind: 'uncertain';
      readonly peer: string;
      readonly reason: string;
    };

/** Selects a page of a scan. */
export interface ScanOptions {
  /** Returns only rows with a key greater than this one. @default undefined */
  after?: string;
  /** Maximum number of rows. @default 500 */
  limit?: number;
}

/** The platform's transactional table service. */
export interface TableService {
  /** Reads rows from one consistent snapshot; a missing row is undefined. */
  read(
    keys: readonly string[],
  ): Promise<Result<readonly (TableRow | undefined)[], PlatformError>>;
  /** Reads rows whose key starts with `prefix`, ordered by key. */
  scan(
    prefix: string,
    options?: ScanOptions,
  ): Promise<Result<readonly TableRow[], PlatformError>>;
  /** Submits a transaction once, without retries. */
  commit(transaction: TableTransaction): Promise<CommitResult>;
}
