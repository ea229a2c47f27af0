import type {Result} from '../errors/mod.ts';
import type {JsonValue} from './json_value.ts';
import type {PlatformError} from './platform_error.ts';

/** A row of the table service. */
export interface TableRow {
  readonly key: string;
  /** Grows with each write of the row; starts at 1. */
  readonly version: number;
  readonly value: JsonValue;
}

/** A condition that must hold for a transaction to be committed. */
export interface TableCondition {
  readonly key: string;
  /** Version that the row must have; null when it must not exist. */
  readonly version: number | null;
}

/** A write within a transaction. */
export type TableWrite =
  | {readonly kind: 'put'; readonly key: string; readonly value: JsonValue}
  | {readonly kind: 'delete'; readonly key: string};

/** Writes that take effect together when all conditions hold, else not at all. */
export interface TableTransaction {
  readonly conditions: readonly TableCondition[];
  readonly writes: readonly TableWrite[];
}

/** Outcome of submitting a transaction once. */
export type CommitResult =
  | {readonly kind: 'committed'}
  | {
      readonly kind: 'conflict';
      /** Every key whose condition did not hold. */
      readonly keys: readonly string[];
    }
  | {readonly kind: 'unavailable'; readonly error: PlatformError}
  | {
      /** The answer is lost: the transaction took effect, will, or never does. */
      readonly kind: 'uncertain';
      readonly peer: string;
      readonly reason: string;
    };

/** A page of a scan. */
export interface ScanOptions {
  /** Only rows with a key greater than this one. @default undefined */
  after?: string;
  /** Largest number of rows returned. @default 500 */
  limit?: number;
}

/** The platform's transactional table service. */
export interface TableService {
  /** Reads rows at one moment; a missing row is undefined. */
  read(
    keys: readonly string[],
  ): Promise<Result<readonly (TableRow | undefined)[], PlatformError>>;
  /** Reads rows whose key starts with `prefix`, ordered by key. */
  scan(
    prefix: string,
    options?: ScanOptions,
  ): Promise<Result<readonly TableRow[], PlatformError>>;
  /** Submits a transaction once. */
  commit(transaction: TableTransaction): Promise<CommitResult>;
}
