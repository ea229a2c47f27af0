import {z} from 'zod';
import type {EventLogger} from '../observability/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import type {PlatformError} from './platform_error.ts';
import type {
  CommitResult,
  TableService,
  TableTransaction,
} from './table_service.ts';

/** Outcome of {@link TransactionWriter.write}. */
export type WriteResult =
  | {
      readonly kind: 'committed';
      /** True when an earlier submission with the same id was committed. */
      readonly alreadyCommitted: boolean;
    }
  | {readonly kind: 'conflict'; readonly keys: readonly string[]}
  | {
      /** Not committed, and no submission can still be committed. */
      readonly kind: 'unavailable';
      readonly error: PlatformError;
    }
  | {
      /** The time limit passed before the outcome was known. */
      readonly kind: 'uncertain';
      readonly peer: string;
      readonly reason: string;
    };

/** Options of {@link TransactionWriter}. */
export interface TransactionWriterOptions {
  table: TableService;
  clock: Clock;
  logger: EventLogger;
  /** Random number in [0, 1) for the jitter of retry delays. @default Math.random */
  random?: () => number;
  /**
   * Milliseconds after which a transaction is not submitted again. Must be much
   * shorter than the age at which marker rows are removed. @default 10000
   */
  timeLimitMilliseconds?: number;
  /** Milliseconds before the first retry; doubles up to 1 s. @default 50 */
  initialRetryDelayMilliseconds?: number;
}

const DEFAULT_TIME_LIMIT_MILLISECONDS = 10_000;
const DEFAULT_INITIAL_RETRY_DELAY_MILLISECONDS = 50;
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 1000;

/** States of a transaction marker, the row that records whether it committed. */
const MARKER_STATES = {
  committed: 'committed',
  /** Submissions conditional on an older marker version can no longer commit. */
  aborted: 'aborted',
} as const;

const markerSchema = z.object({state: z.enum(MARKER_STATES)});

/** Key prefix of transaction marker rows. */
export const TRANSACTION_MARKER_PREFIX = 'marker/';

/** Returns the key of the marker row of a transaction. */
export function transactionMarkerKey(transactionId: string): string {
  return `${TRANSACTION_MARKER_PREFIX}${transactionId}`;
}

/**
 * Commits each transaction at most once, retrying when the response to a commit
 * is lost. Each submission is conditional on the version of a marker row, whose
 * key contains the transaction id, and writes that row. A retry therefore either
 * commits the transaction or shows that an earlier submission committed it.
 *
 * A conflict does not show that an earlier submission without a response fails
 * as well: a conflicting row may be deleted before that submission arrives. The
 * writer therefore writes an aborted marker, which makes earlier submissions
 * fail, before it reports the conflict. A later call with the same id continues
 * from the version of the aborted marker.
 *
 * The marker scheme follows "Resolving Uncertain Transactions in Aerospike".
 */
export class TransactionWriter {
  constructor(private readonly options: TransactionWriterOptions) {}

  /**
   * Submits a transaction until its outcome is known or the time limit passes.
   *
   * @param id Unique id; a transaction is committed at most once per id.
   * @param transaction Conditions and writes, without those of the marker row.
   */
  async write(id: string, transaction: TableTransaction): Promise<WriteResult> {
    const {clock, logger} = this.options;
    const random = this.options.random ?? Math.random;
    const key = transactionMarkerKey(id);
    const deadline =
      clock.monotonicMilliseconds() +
      (this.options.timeLimitMilliseconds ?? DEFAULT_TIME_LIMIT_MILLISECONDS);
    let delay =
      this.options.initialRetryDelayMilliseconds ??
      DEFAULT_INITIAL_RETRY_DELAY_MILLISECONDS;
    let markerVersion: number | null = null;
    // Whether a submission without a response may still be committed.
    let mayStillCommit = false;
    // Conflict to report once no earlier submission can be committed.
    let conflict: Extract<WriteResult, {kind: 'conflict'}> | undefined;
    for (;;) {
      const result = await this.submit(key, markerVersion, transaction);
      let problem: Problem;
      switch (result.kind) {
        case 'committed':
          return {kind: 'committed', alreadyCommitted: false};
        case 'unavailable':
          if (!mayStillCommit) return result;
          problem = result.error;
          break;
        case 'uncertain':
          mayStillCommit = true;
          problem = result;
          logger.event('transactionUncertain', {id, reason: result.reason});
          break;
        case 'conflict': {
          if (result.keys.includes(key)) {
            const marker = await this.readMarker(key);
            if (marker.kind === 'committed') {
              return {kind: 'committed', alreadyCommitted: true};
            }
            if (marker.kind === 'aborted') {
              if (conflict !== undefined) return conflict;
              markerVersion = marker.version;
              mayStillCommit = false;
              problem = MARKER_CHANGED;
              break;
            }
            mayStillCommit = true;
            problem = marker.problem;
            break;
          }
          if (!mayStillCommit) return result;
          conflict = result;
          const aborted = await this.abortEarlierSubmissions(
            key,
            markerVersion,
          );
          if (aborted === undefined) return result;
          problem = aborted;
          break;
        }
      }
      const wait = delay * (0.5 + random());
      if (clock.monotonicMilliseconds() + wait >= deadline) {
        return {kind: 'uncertain', ...describe(problem)};
      }
      await sleep(clock, wait);
      // The process may have been paused during the sleep; it must not submit
      // after the deadline, when the marker row may already be removed.
      if (clock.monotonicMilliseconds() >= deadline) {
        return {kind: 'uncertain', ...describe(problem)};
      }
      delay = Math.min(delay * 2, MAXIMUM_RETRY_DELAY_MILLISECONDS);
    }
  }

  private submit(
    key: string,
    version: number | null,
    transaction: TableTransaction,
  ): Promise<CommitResult> {
    const value = this.markerValue(MARKER_STATES.committed);
    return this.options.table.commit({
      conditions: [{key, version}, ...transaction.conditions],
      writes: [{kind: 'put', key, value}, ...transaction.writes],
    });
  }

  /**
   * Writes an aborted marker, which makes earlier submissions fail.
   *
   * @returns Undefined when no earlier submission can be committed any more.
   */
  private async abortEarlierSubmissions(
    key: string,
    version: number | null,
  ): Promise<Problem | undefined> {
    const value = this.markerValue(MARKER_STATES.aborted);
    const result = await this.options.table.commit({
      conditions: [{key, version}],
      writes: [{kind: 'put', key, value}],
    });
    switch (result.kind) {
      case 'committed':
        return undefined;
      case 'conflict':
        return MARKER_CHANGED;
      case 'unavailable':
        return result.error;
      case 'uncertain':
        return result;
    }
  }

  private async readMarker(key: string): Promise<Marker> {
    const rows = await this.options.table.read([key]);
    if (!rows.ok) return {kind: 'unknown', problem: rows.error};
    const row = rows.value[0];
    const parsed = markerSchema.safeParse(row?.value);
    if (row === undefined || !parsed.success) {
      const reason = `Marker "${key}" was removed or cannot be read`;
      return {kind: 'unknown', problem: {peer: 'table', reason}};
    }
    return {kind: parsed.data.state, version: row.version};
  }

  private markerValue(state: keyof typeof MARKER_STATES) {
    return {state, at: this.options.clock.now().toISOString()};
  }
}

type Problem = PlatformError | {readonly peer: string; readonly reason: string};

type Marker =
  | {readonly kind: 'committed'; readonly version: number}
  | {readonly kind: 'aborted'; readonly version: number}
  | {readonly kind: 'unknown'; readonly problem: Problem};

const MARKER_CHANGED: Problem = {
  peer: 'table',
  reason: 'Another writer moved the marker',
};

function describe(problem: Problem): {peer: string; reason: string} {
  const {peer} = problem;
  if ('reason' in problem) return {peer, reason: problem.reason};
  return {peer, reason: 'The budget of table operations is spent'};
}
