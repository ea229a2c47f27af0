import {createHash} from 'node:crypto';
import {z} from 'zod';
import {failure, type Result, success} from '../errors/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {
  JsonValue,
  ObjectStore,
  PlatformError,
  TableRow,
  TableService,
  TransactionWriter,
} from '../stores/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import {
  changeKey,
  HEAD_KEY,
  LOG_PREFIX,
  logKey,
  versionSchema,
} from './_log_rows.ts';
import {applyChange} from './apply_change.ts';
import {type Authority, EMPTY_AUTHORITY} from './authority.ts';
import {type Change, type LogEntry, logEntrySchema} from './change.ts';
import {type ChangeRejection, describeRejection} from './change_rejection.ts';
import {SnapshotReader} from './snapshot_reader.ts';

/** Result of submitting a change. */
export type SubmitResult =
  | {readonly kind: 'committed'; readonly version: number}
  | {readonly kind: 'rejected'; readonly rejection: ChangeRejection}
  | {
      /** The change was not committed. */
      readonly kind: 'unavailable';
      readonly error: PlatformError;
    }
  | {
      /**
       * The change may have been committed; it can be submitted again with the
       * same id.
       */
      readonly kind: 'uncertain';
      readonly reason: string;
    };

/**
 * Called after each change of the local copy, with the entry that was applied
 * or undefined if a snapshot was installed.
 */
export type AuthorityListener = (
  authority: Authority,
  entry: LogEntry | undefined,
) => void;

/** Options of {@link ChangeLog}. */
export interface ChangeLogOptions {
  table: TableService;
  objectStore: ObjectStore;
  writer: TransactionWriter;
  clock: Clock;
  logger: EventLogger;
}

/**
 * Maximum number of attempts to commit one change while other changes are
 * committed first.
 */
const MAXIMUM_COMMIT_ATTEMPTS = 50;

/** Number of entries kept in memory to send to peers that are behind. */
const RECENT_ENTRY_COUNT = 1000;

/**
 * This host's copy of the authority, and the means to change it. The version of
 * the copy never decreases.
 */
export class ChangeLog {
  private state: Authority = EMPTY_AUTHORITY;
  private readonly listeners = new Set<AuthorityListener>();
  private readonly recent: LogEntry[] = [];

  private readonly snapshots: SnapshotReader;

  constructor(private readonly options: ChangeLogOptions) {
    this.snapshots = new SnapshotReader(options);
  }

  /** The latest state that this host has applied. */
  get authority(): Authority {
    return this.state;
  }

  /** Registers a listener and returns a function that removes it. */
  subscribe(listener: AuthorityListener): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /**
   * Installs the latest usable snapshot that is newer than the state, if any.
   */
  async loadSnapshot(): Promise<void> {
    const authority = await this.snapshots.readNewerThan(this.state.version);
    if (authority !== undefined) this.installSnapshot(authority);
  }

  /**
   * Replaces the state by that of a snapshot; an older or equal version is
   * ignored.
   */
  installSnapshot(authority: Authority): void {
    if (authority.version <= this.state.version) return;
    this.state = authority;
    this.recent.length = 0;
    this.notify(undefined);
  }

  /**
   * Reads the head row and applies all entries up to it.
   *
   * @returns The version of the head row.
   */
  async refresh(): Promise<Result<number, PlatformError>> {
    const head = await this.readHead();
    if (!head.ok) return head;
    const applied = await this.readEntriesUntil(head.value.version);
    if (!applied.ok) return applied;
    return success(head.value.version);
  }

  /**
   * Applies the entries that follow the current version and skips the others.
   * Stops at an entry that cannot be applied.
   */
  applyEntries(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      if (entry.version !== this.state.version + 1) continue;
      if (!this.applyEntry(entry)) return;
    }
  }

  /** Entries after `version`; undefined if they are no longer in memory. */
  entriesAfter(version: number): readonly LogEntry[] | undefined {
    if (version >= this.state.version) return [];
    const first = this.recent.findIndex(entry => entry.version === version + 1);
    return first === -1 ? undefined : this.recent.slice(first);
  }

  /**
   * Commits a change. The change id makes this idempotent: a change submitted
   * again with the same id is not applied twice.
   */
  async submit(
    changeId: string,
    author: string,
    change: Change,
  ): Promise<SubmitResult> {
    for (let attempt = 0; attempt < MAXIMUM_COMMIT_ATTEMPTS; attempt++) {
      const result = await this.submitOnce(changeId, author, change);
      if (result === undefined) {
        await sleep(
          this.options.clock,
          backoffAfterConflict(changeId, attempt),
        );
        continue;
      }
      if (result.kind !== 'unavailable') return result;
      if (result.error.kind !== 'over_budget') return result;
      // A long series of changes is delayed to keep within the budget of the
      // table, but not refused.
      await sleep(this.options.clock, result.error.retryAfterMilliseconds);
    }
    return {
      kind: 'unavailable',
      error: {
        kind: 'unavailable',
        step: 'commit',
        peer: 'table',
        reason: `${MAXIMUM_COMMIT_ATTEMPTS} submissions lost to other changes`,
      },
    };
  }

  /**
   * Submits on top of the latest head row; undefined if another change was
   * first.
   */
  private async submitOnce(
    changeId: string,
    author: string,
    change: Change,
  ): Promise<SubmitResult | undefined> {
    const head = await this.readHead();
    if (!head.ok) return {kind: 'unavailable', error: head.error};
    const applied = await this.readEntriesUntil(head.value.version);
    if (!applied.ok) return {kind: 'unavailable', error: applied.error};
    if (this.state.version !== head.value.version) return undefined;
    return this.commitOn(head.value, changeId, author, change);
  }

  /**
   * Commits on top of a head row; undefined if another change was committed
   * first.
   */
  private async commitOn(
    head: Head,
    changeId: string,
    author: string,
    change: Change,
  ): Promise<SubmitResult | undefined> {
    const known = await this.findCommittedVersion(changeId);
    if (!known.ok) return {kind: 'unavailable', error: known.error};
    if (known.value !== undefined) {
      return {kind: 'committed', version: known.value};
    }
    const outcome = applyChange(this.state, change);
    if (!outcome.ok) {
      this.options.logger.event('changeRejected', {
        changeId,
        author,
        kind: change.kind,
        reason: describeRejection(outcome.error),
      });
      return {kind: 'rejected', rejection: outcome.error};
    }
    const entry: LogEntry = {
      format: 1,
      version: head.version + 1,
      changeId,
      author,
      committedAt: this.options.clock.now().toISOString(),
      change,
    };
    const written = await this.options.writer.write(`change/${changeId}`, {
      conditions: [
        {key: HEAD_KEY, version: head.rowVersion},
        {key: logKey(entry.version), version: null},
      ],
      writes: [
        {kind: 'put', key: HEAD_KEY, value: {version: entry.version}},
        {
          kind: 'put',
          key: logKey(entry.version),
          value: entry as unknown as JsonValue,
        },
        {
          kind: 'put',
          key: changeKey(changeId),
          value: {version: entry.version, at: entry.committedAt},
        },
      ],
    });
    switch (written.kind) {
      case 'committed':
        // An earlier submission with this id may have been committed at another
        // version; the next attempt finds it.
        if (written.alreadyCommitted) return undefined;
        this.applyEntries([entry]);
        this.options.logger.event('changeCommitted', {
          changeId,
          author,
          kind: change.kind,
          version: entry.version,
        });
        return {kind: 'committed', version: entry.version};
      case 'conflict':
        return undefined;
      case 'unavailable':
        return {kind: 'unavailable', error: written.error};
      case 'uncertain':
        return {kind: 'uncertain', reason: written.reason};
    }
  }

  /** Version at which a change was committed; undefined if it was not. */
  private async findCommittedVersion(
    changeId: string,
  ): Promise<Result<number | undefined, PlatformError>> {
    const rows = await this.options.table.read([changeKey(changeId)]);
    if (!rows.ok) return rows;
    const row = rows.value[0];
    if (row === undefined) return success(undefined);
    return success(versionSchema.parse(row.value).version);
  }

  private async readHead(): Promise<Result<Head, PlatformError>> {
    const rows = await this.options.table.read([HEAD_KEY]);
    if (!rows.ok) return rows;
    const row = rows.value[0];
    if (row === undefined) return success({version: 0, rowVersion: null});
    const parsed = versionSchema.safeParse(row.value);
    if (!parsed.success) return this.reportUnreadable(row, parsed.error);
    const {version} = parsed.data;
    return success({version, rowVersion: row.version});
  }

  private async readEntriesUntil(
    version: number,
  ): Promise<Result<undefined, PlatformError>> {
    while (this.state.version < version) {
      const before = this.state.version;
      const rows = await this.options.table.scan(LOG_PREFIX, {
        after: logKey(before),
      });
      if (!rows.ok) return rows;
      for (const row of rows.value) {
        const parsed = logEntrySchema.safeParse(row.value);
        if (!parsed.success) return this.reportUnreadable(row, parsed.error);
        this.applyEntries([parsed.data]);
      }
      if (this.state.version > before) continue;
      // The rows may have been compacted into a snapshot.
      await this.loadSnapshot();
      if (this.state.version > before) continue;
      return failure({
        kind: 'invalid_answer',
        step: 'scan',
        peer: 'table',
        reason: `Log row ${logKey(before + 1)} is missing or does not apply`,
      });
    }
    return success(undefined);
  }

  private reportUnreadable(row: TableRow, error: z.ZodError) {
    const reason = z.prettifyError(error);
    this.options.logger.event('logRowUnreadable', {key: row.key, reason});
    return failure<PlatformError>({
      kind: 'invalid_answer',
      step: 'read',
      peer: 'table',
      reason: `Row "${row.key}" cannot be read by this version: ${reason}`,
    });
  }

  private applyEntry(entry: LogEntry): boolean {
    const outcome = applyChange(this.state, entry.change);
    if (!outcome.ok) {
      // The writer applied the entry to the same state before committing it, so
      // a rejection means that the program versions differ or a peer is faulty.
      this.options.logger.event('logRowUnreadable', {
        key: logKey(entry.version),
        reason: describeRejection(outcome.error),
      });
      return false;
    }
    this.state = outcome.value;
    this.recent.push(entry);
    if (this.recent.length > RECENT_ENTRY_COUNT) this.recent.shift();
    this.options.logger.event('changeApplied', {
      version: entry.version,
      kind: entry.change.kind,
    });
    this.notify(entry);
    return true;
  }

  private notify(entry: LogEntry | undefined): void {
    for (const listener of this.listeners) listener(this.state, entry);
  }
}

/** Content of the head row. */
interface Head {
  readonly version: number;
  /** Version of the table row; null before the first change. */
  readonly rowVersion: number | null;
}

const INITIAL_BACKOFF_MILLISECONDS = 10;
const MAXIMUM_BACKOFF_MILLISECONDS = 500;

/**
 * Delay before the next attempt, with jitter. Without the delay, when 16 hosts
 * competed for the head row, one of them failed in all of its attempts. The
 * jitter is derived from the change id, so that it differs between changes but
 * is the same in each run.
 */
function backoffAfterConflict(changeId: string, attempt: number): number {
  const upperBound = Math.min(
    INITIAL_BACKOFF_MILLISECONDS * 2 ** attempt,
    MAXIMUM_BACKOFF_MILLISECONDS,
  );
  const digest = createHash('sha256').update(`${changeId}/${attempt}`).digest();
  return (upperBound * digest.readUInt32BE(0)) / 2 ** 32;
}
