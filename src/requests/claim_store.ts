import {REQUEST_ERROR_CODES, RUN_STATES, type RunState} from '../errors/mod.ts';
import type {RequestErrorCode} from '../errors/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {JsonValue, TableRow, TableService} from '../stores/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import {
  CLAIM_PREFIX,
  claimKey,
  type ClaimRow,
  claimRowSchema,
  type StoredResponse,
} from './claim_row.ts';
import type {RowBatch, RowResult} from './row_batch.ts';

/** A request to claim an idempotency key. */
export interface ClaimRequest {
  readonly team: string;
  readonly idempotencyKey: string;
  /** Digest of everything that a repeat of the request must have in common with it. */
  readonly bodyDigest: string;
  readonly requestId: string;
  /** Milliseconds until the request's deadline. */
  readonly remainingMilliseconds: number;
}

/** Outcome of {@link ClaimStore.claim}. */
export type ClaimResult =
  | {readonly kind: 'granted'; readonly claim: Claim}
  /** An earlier request with the key completed; its response is replayed. */
  | {readonly kind: 'answered'; readonly answer: StoredResponse}
  | {
      readonly kind: 'refused';
      readonly code: RequestErrorCode;
      readonly message: string;
      readonly run: RunState;
      readonly retryAfterMilliseconds?: number;
    };

/** A granted claim. Only the first method call takes effect. */
export interface Claim {
  /** Stores the response for repeats. */
  answered(answer: StoredResponse): void;
  /** Records that the request did not run, so that a repeat may. */
  release(): void;
  /** Records that the request may have run, so that repeats are refused. */
  unknown(): void;
}

/** Options of {@link ClaimStore}. */
export interface ClaimStoreOptions {
  table: TableService;
  batch: RowBatch;
  clock: Clock;
  logger: EventLogger;
  hostId: string;
  incarnation: string;
  /** Whether this incarnation of a host's process has ended. */
  hasHostProcessEnded: (hostId: string, incarnation: string) => boolean;
  /** Milliseconds for which a claim is kept. */
  retentionMilliseconds: number;
  /** Maximum size of a stored response, as JSON. */
  maximumResponseBytes: number;
}

/** Added to the deadline for the write of the outcome and for clock skew between hosts. */
const RUN_MARGIN_MILLISECONDS = 30_000;
const IN_PROGRESS_RETRY_MILLISECONDS = 500;
const MAXIMUM_CLAIM_ATTEMPTS = 3;
const MAXIMUM_OUTCOME_WRITES = 6;
const FIRST_OUTCOME_RETRY_MILLISECONDS = 100;

/** Stores claims of idempotency keys in the table. */
export class ClaimStore {
  /** Body digests of the claims that this host holds, by row key. */
  private readonly open = new Map<string, string>();

  constructor(private readonly options: ClaimStoreOptions) {}

  /** Claims the key, or returns the outcome of an earlier claim. */
  async claim(request: ClaimRequest): Promise<ClaimResult> {
    const key = claimKey(request.team, request.idempotencyKey);
    const openDigest = this.open.get(key);
    if (openDigest !== undefined) {
      return openDigest === request.bodyDigest ? IN_PROGRESS : CONFLICT;
    }
    this.open.set(key, request.bodyDigest);
    const result = await this.insert(key, request);
    if (result.kind !== 'granted') this.open.delete(key);
    return result;
  }

  /**
   * Removes rows that have expired.
   *
   * @returns Number of rows removed.
   */
  async removeExpired(): Promise<number> {
    const {table, clock} = this.options;
    let removed = 0;
    let after: string | undefined;
    for (;;) {
      const page = await table.scan(
        CLAIM_PREFIX,
        after === undefined ? {} : {after},
      );
      if (!page.ok || page.value.length === 0) return removed;
      after = page.value.at(-1)!.key;
      const expired = page.value.filter(row => this.hasExpired(row));
      if (expired.length === 0) continue;
      const result = await table.commit({
        conditions: expired.map(({key, version}) => ({key, version})),
        writes: expired.map(({key}) => ({kind: 'delete', key})),
      });
      if (result.kind === 'committed') removed += expired.length;
      await sleep(clock, IN_PROGRESS_RETRY_MILLISECONDS);
    }
  }

  private hasExpired(row: TableRow): boolean {
    const parsed = claimRowSchema.safeParse(row.value);
    if (!parsed.success) return false;
    const now = this.options.clock.now().getTime();
    return Date.parse(parsed.data.expiresAt) <= now;
  }

  private async insert(
    key: string,
    request: ClaimRequest,
  ): Promise<ClaimResult> {
    let version: number | null = null;
    for (let attempt = 0; attempt < MAXIMUM_CLAIM_ATTEMPTS; attempt++) {
      const row = this.createRow(request);
      const result = await this.options.batch.write({
        key,
        version,
        value: toJson(row),
      });
      if (result.kind === 'committed') {
        const claim = this.createClaim(key, (version ?? 0) + 1, row);
        return {kind: 'granted', claim};
      }
      if (result.kind !== 'conflict') return tableUnavailable(result);
      const existing = await this.options.table.read([key]);
      if (!existing.ok) {
        return refused(
          'tableUnavailable',
          'The claim cannot be read',
          'unknown',
        );
      }
      const current = existing.value[0];
      const existingResult = this.interpretRow(current, request);
      if (existingResult !== undefined) return existingResult;
      version = current?.version ?? null;
    }
    return IN_PROGRESS;
  }

  /** The result that an existing row implies; undefined if the key may be claimed again. */
  private interpretRow(
    row: TableRow | undefined,
    request: ClaimRequest,
  ): ClaimResult | undefined {
    if (row === undefined || this.hasExpired(row)) return undefined;
    const parsed = claimRowSchema.safeParse(row.value);
    if (!parsed.success) {
      return refused('outcomeUnknown', 'The claim cannot be read', 'unknown');
    }
    const claim = parsed.data;
    if (claim.bodyDigest !== request.bodyDigest) return CONFLICT;
    switch (claim.state) {
      case 'released':
        return undefined;
      case 'unknown':
        return OUTCOME_UNKNOWN;
      case 'running':
        return this.isAbandoned(claim)
          ? this.abandonedResult(claim)
          : IN_PROGRESS;
      case 'answered': {
        const {answer} = claim;
        if (answer === null) return ANSWER_NOT_KEPT;
        const {requestId} = request;
        this.options.logger.event('claimReplayed', {requestId});
        return {kind: 'answered', answer};
      }
    }
  }

  private isAbandoned(claim: ClaimRow): boolean {
    const {clock, hostId, incarnation, hasHostProcessEnded} = this.options;
    if (claim.hostId === hostId && claim.incarnation !== incarnation) {
      return true;
    }
    if (Date.parse(claim.runsUntil) <= clock.now().getTime()) return true;
    return hasHostProcessEnded(claim.hostId, claim.incarnation);
  }

  private abandonedResult(claim: ClaimRow): ClaimResult {
    const {requestId, hostId} = claim;
    this.options.logger.event('claimUnresolved', {requestId, host: hostId});
    return OUTCOME_UNKNOWN;
  }

  private createRow(request: ClaimRequest): ClaimRow {
    const {clock, hostId, incarnation, retentionMilliseconds} = this.options;
    const now = clock.now().getTime();
    const runsFor = request.remainingMilliseconds + RUN_MARGIN_MILLISECONDS;
    return {
      state: 'running',
      bodyDigest: request.bodyDigest,
      requestId: request.requestId,
      hostId,
      incarnation,
      runsUntil: new Date(now + runsFor).toISOString(),
      expiresAt: new Date(
        now + Math.max(runsFor, retentionMilliseconds),
      ).toISOString(),
      answer: null,
    };
  }

  private createClaim(key: string, version: number, row: ClaimRow): Claim {
    let ended = false;
    const end = (change: Partial<ClaimRow>) => {
      if (ended) return;
      ended = true;
      void this.writeOutcome(key, version, {...row, ...change});
    };
    return {
      answered: answer => {
        const size = JSON.stringify(answer).length;
        const kept = size <= this.options.maximumResponseBytes ? answer : null;
        end({state: 'answered', answer: kept});
      },
      release: () => end({state: 'released'}),
      unknown: () => end({state: 'unknown'}),
    };
  }

  private async writeOutcome(
    key: string,
    version: number,
    row: ClaimRow,
  ): Promise<void> {
    const {batch, clock, logger} = this.options;
    let delay = FIRST_OUTCOME_RETRY_MILLISECONDS;
    let result: RowResult = {kind: 'conflict'};
    for (let attempt = 0; attempt < MAXIMUM_OUTCOME_WRITES; attempt++) {
      result = await batch.write({key, version, value: toJson(row)});
      if (result.kind === 'committed' || result.kind === 'conflict') break;
      await sleep(clock, delay);
      delay *= 2;
    }
    this.open.delete(key);
    if (result.kind !== 'committed') {
      const {requestId} = row;
      logger.event('claimUnresolved', {requestId, reason: result.kind});
    }
  }
}

const IN_PROGRESS: ClaimResult = {
  kind: 'refused',
  code: REQUEST_ERROR_CODES.requestInProgress,
  message: 'A request with this idempotency key is in progress',
  run: RUN_STATES.unknown,
  retryAfterMilliseconds: IN_PROGRESS_RETRY_MILLISECONDS,
};

const CONFLICT: ClaimResult = refused(
  'idempotencyConflict',
  'The idempotency key was used for another request',
  'notRun',
);

const OUTCOME_UNKNOWN: ClaimResult = refused(
  'outcomeUnknown',
  'A request with this idempotency key may have run; its outcome is unknown',
  'unknown',
);

const ANSWER_NOT_KEPT: ClaimResult = refused(
  'outcomeUnknown',
  'A request with this idempotency key has run; its answer was too large to keep',
  'run',
);

function refused(
  code: keyof typeof REQUEST_ERROR_CODES,
  message: string,
  run: keyof typeof RUN_STATES,
): ClaimResult {
  return {
    kind: 'refused',
    code: REQUEST_ERROR_CODES[code],
    message,
    run: RUN_STATES[run],
  };
}

/**
 * A request whose claim was not granted is never dispatched, so it counts as
 * not run even if its row was written.
 */
function tableUnavailable(
  result: Extract<RowResult, {kind: 'unavailable' | 'uncertain'}>,
): ClaimResult {
  const message = `The claim cannot be recorded: ${result.reason}`;
  return refused('tableUnavailable', message, 'notRun');
}

function toJson(row: ClaimRow): JsonValue {
  return row;
}
