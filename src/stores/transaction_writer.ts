import {z} from 'zod';
import type {EventLogger} from '../observability/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import type {PlatformError} from './platform_error.ts';
import type {
  CommitResult,
  TableService,
  TableTransaction,
} from './table_service.ts';

/** Final outcome of a transaction that is submitted until it is known. */
export type WriteResult =
  | {
      readonly kind: 'committed';
      /** True when an earlier submission under the same id took effect. */
      readonly alreadyCommitted: boolean;
    }
  | {readonly kind: 'conflict'; readonly keys: readonly string[]}
  | {
      /** It was never committed and no submission is outstanding. */
      readonly kind: 'unavailable';
      readonly error: PlatformError;
    }
  | {
      /** The outcome could not be learned within the time allowed. */
      readonly kind: 'uncertain';
      readonly peer: string;
      readonly reason: string;
    };

/** Options of {@link TransactionWriter}. */
export interface TransactionWriterOptions {
  table: TableService;
  clock: Clock;
  logger: EventLogger;
  /** Returns a number in [0, 1) for the jitter. @default Math.random */
  random?: () => number;
  /**
   * Milliseconds after which nothing is submitted any more. It must be much
   * shorter than the age at which markers are removed. @default 10000
   */
  timeLimitMilliseconds?: number;
  /** Milliseconds before the second submission; doubles up to 1 s. @default 50 */
  initialRetryDelayMilliseconds?: number;
}

const DEFAULT_TIME_LIMIT_MILLISECONDS = 10_000;
const DEFAULT_FIRST_DELAY_MILLISECONDS = 50;
const MAXIMUM_DELAY_MILLISECONDS = 1000;

/** States of a marker row. */
const MARKER_STATES = {
  committed: 'committed',
  /** Submissions on an older version of the marker never take effect. */
  aborted: 'aborted',
} as const;

const markerSchema = z.object({state: z.enum(MARKER_STATES)});

/** Prefix of the keys of marker rows. */
export const TRANSACTION_MARKER_PREFIX = 'marker/';

/** Key of the marker row of a transaction. */
export function transactionMarkerKey(transactionId: string): string {
  return `${TRANSACTION_MARKER_PREFIX}${transactionId}`;
}

/**
 * Submits transactions whose answer may be lost. Each is conditional on the
 * version of a marker row under its id and writes that row, so that submitting
 * it again either commits it once or proves that it was committed before.
 *
 * A conflict does not prove that an earlier submission without an answer fails
 * too: a row that exists now may be deleted before that submission arrives.
 * The writer therefore aborts by moving the marker before it reports the
 * conflict. A later call with the same id starts on the aborted marker.
 *
 * The tagging scheme follows "Resolving Uncertain Transactions in Aerospike".
 */
export class TransactionWriter {
  constructor(private readonly options: TransactionWriterOptions) {}

  /**
   * Submits a transaction until its outcome is known or time runs out.
   *
   * @param id Unique id; the same id never takes effect twice.
   * @param transaction Conditions and writes, without the marker.
   */
  async write(id: string, transaction: TableTransaction): Promise<WriteResult> {
    const {clock, logger} = this.options;
    const random = this.options.random ?? Math.random;
    const key = transactionMarkerKey(id);
    const giveUpAt =
      clock.monotonicMilliseconds() +
      (this.options.timeLimitMilliseconds ?? DEFAULT_TIME_LIMIT_MILLISECONDS);
    let delay =
      this.options.initialRetryDelayMilliseconds ??
      DEFAULT_FIRST_DELAY_MILLISECONDS;
    let markerVersion: number | null = null;
    // Whether a submission without an answer may still take effect.
    let outstanding = false;
    // The conflict that waits for proof that no earlier submission commits.
    let conflict: Extract<WriteResult, {kind: 'conflict'}> | undefined;
    for (;;) {
      const result = await this.submit(key, markerVersion, transaction);
      let problem: Problem;
      switch (result.kind) {
        case 'committed':
          return {kind: 'committed', alreadyCommitted: false};
        case 'unavailable':
          if (!outstanding) return result;
          problem = result.error;
          break;
        case 'uncertain':
          outstanding = true;
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
              outstanding = false;
              problem = ABORTED;
              break;
            }
            outstanding = true;
            problem = marker.problem;
            break;
          }
          if (!outstanding) return result;
          conflict = result;
          const aborted = await this.abort(key, markerVersion);
          if (aborted === undefined) return result;
          problem = aborted;
          break;
        }
      }
      const wait = delay * (0.5 + random());
      if (clock.monotonicMilliseconds() + wait >= giveUpAt) {
        return {kind: 'uncertain', ...describe(problem)};
      }
      await sleep(clock, wait);
      // A process that was paused here must not submit after its time.
      if (clock.monotonicMilliseconds() >= giveUpAt) {
        return {kind: 'uncertain', ...describe(problem)};
      }
      delay = Math.min(delay * 2, MAXIMUM_DELAY_MILLISECONDS);
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

  /** Moves the marker; undefined when no earlier submission can commit. */
  private async abort(
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
        return ABORTED;
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

const ABORTED: Problem = {
  peer: 'table',
  reason: 'Another writer moved the marker',
};

function describe(problem: Problem): {peer: string; reason: string} {
  const {peer} = problem;
  if ('reason' in problem) return {peer, reason: problem.reason};
  return {peer, reason: 'The budget of table operations is spent'};
}
