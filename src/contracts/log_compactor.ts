import {randomUUID} from 'node:crypto';
import {failure, type Result, success} from '../errors/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {
  JsonValue,
  ObjectStore,
  PlatformError,
  TableService,
  TransactionWriter,
} from '../stores/mod.ts';
import type {Clock} from '../time/mod.ts';
import {LOG_PREFIX, logKey} from './_log_rows.ts';
import {
  CATALOG_KEY,
  readCatalog,
  type SnapshotCatalog,
  type SnapshotReference,
  type StoredCatalog,
} from './_snapshot_catalog.ts';
import type {Authority} from './authority.ts';
import {encodeSnapshot} from './authority_snapshot.ts';
import type {ChangeLog} from './change_log.ts';
import {
  CATALOG_COPY_NAME,
  digestBytes,
  SnapshotReader,
} from './snapshot_reader.ts';

/** Options of {@link LogCompactor}. */
export interface LogCompactorOptions {
  hostId: string;
  changeLog: ChangeLog;
  table: TableService;
  objectStore: ObjectStore;
  writer: TransactionWriter;
  clock: Clock;
  logger: EventLogger;
  /**
   * Number of log entries since the latest snapshot after which a new one is
   * due. @default 1000
   */
  entriesPerSnapshot?: number;
  /**
   * Milliseconds after which another host may take over a claim. @default 60000
   */
  claimTimeoutMilliseconds?: number;
}

/** Result of one run of {@link LogCompactor}. */
export type CompactionResult =
  | {readonly kind: 'not_due'}
  | {
      /** Another host is writing a snapshot. */
      readonly kind: 'claimed_elsewhere';
    }
  | {
      readonly kind: 'compacted';
      readonly version: number;
      readonly removedRows: number;
    };

type Outcome = Result<CompactionResult, PlatformError>;

const DEFAULT_ENTRIES_PER_SNAPSHOT = 1000;
const DEFAULT_CLAIM_TIMEOUT_MILLISECONDS = 60_000;
const ROWS_PER_TRANSACTION = 50;

/**
 * Writes snapshots of the authority and removes log rows that are no longer
 * needed.
 *
 * A host claims the writing in the row `snapshots`. The claim only avoids
 * duplicate work: each snapshot has a unique object name, and the row is
 * replaced conditionally, so a writer that was paused cannot overwrite a newer
 * snapshot. Log rows after the previous snapshot are kept, so that the state
 * can be restored if the object of the latest snapshot is damaged.
 */
export class LogCompactor {
  private readonly reader: SnapshotReader;

  constructor(private readonly options: LogCompactorOptions) {
    this.reader = new SnapshotReader(options);
  }

  /** Writes a snapshot if one is due and no other host is writing one. */
  async run(): Promise<Outcome> {
    const stored = await readCatalog(this.options.table);
    if (!stored.ok) return stored;
    const {catalog} = stored.value;
    const authority = this.options.changeLog.authority;
    const entriesUntilDue =
      this.options.entriesPerSnapshot ?? DEFAULT_ENTRIES_PER_SNAPSHOT;
    if (authority.version - (catalog.current?.version ?? 0) < entriesUntilDue) {
      return success({kind: 'not_due'});
    }
    if (this.isClaimedElsewhere(catalog)) {
      return success({kind: 'claimed_elsewhere'});
    }
    const claimed = await this.replaceCatalog(stored.value, {
      ...catalog,
      writer: {
        hostId: this.options.hostId,
        at: this.options.clock.now().toISOString(),
      },
    });
    if (!claimed.ok) return claimed;
    if (!claimed.value) return success({kind: 'claimed_elsewhere'});
    const reread = await readCatalog(this.options.table);
    if (!reread.ok) return reread;
    if (reread.value.catalog.writer?.hostId !== this.options.hostId) {
      return success({kind: 'claimed_elsewhere'});
    }
    return this.compact(reread.value, authority);
  }

  private async compact(
    stored: StoredCatalog,
    authority: Authority,
  ): Promise<Outcome> {
    const written = await this.writeSnapshot(authority);
    if (!written.ok) return written;
    const {current, previous} = stored.catalog;
    const catalog: SnapshotCatalog = {
      current: written.value,
      previous: current,
      writer: null,
    };
    const replaced = await this.replaceCatalog(stored, catalog);
    if (!replaced.ok) return replaced;
    if (!replaced.value) return success({kind: 'claimed_elsewhere'});
    this.options.logger.event('snapshotWritten', {version: authority.version});
    await this.writeCopy(catalog);
    const removed = await this.removeRowsUntil(current?.version ?? 0);
    if (!removed.ok) return removed;
    if (previous !== null) await this.options.objectStore.delete(previous.name);
    return success({
      kind: 'compacted',
      version: authority.version,
      removedRows: removed.value,
    });
  }

  /** Writes the object and reads it back to verify it. */
  private async writeSnapshot(
    authority: Authority,
  ): Promise<Result<SnapshotReference, PlatformError>> {
    const bytes = encodeSnapshot(authority);
    const digest = digestBytes(bytes);
    const {version} = authority;
    const name = `authority-snapshot-${version}-${digest}`;
    const stored = await this.options.objectStore.put(name, bytes);
    if (!stored.ok) return stored;
    const reference: SnapshotReference = {version, name, digest};
    const readBack = await this.reader.read(reference);
    if (readBack !== undefined) return success(reference);
    return failure({
      kind: 'invalid_answer',
      step: 'get_object',
      peer: 'object store',
      reason: `Snapshot "${name}" cannot be read back`,
    });
  }

  private isClaimedElsewhere(catalog: SnapshotCatalog): boolean {
    if (catalog.writer === null) return false;
    const timeout =
      this.options.claimTimeoutMilliseconds ??
      DEFAULT_CLAIM_TIMEOUT_MILLISECONDS;
    const startedAt = Date.parse(catalog.writer.at);
    const age = this.options.clock.now().getTime() - startedAt;
    // The clock of the other host may be ahead, so the time of the claim may be
    // in the future.
    return Math.abs(age) < timeout;
  }

  /** Replaces the catalog; false if another host replaced it first. */
  private async replaceCatalog(
    stored: StoredCatalog,
    catalog: SnapshotCatalog,
  ): Promise<Result<boolean, PlatformError>> {
    const written = await this.options.writer.write(
      `snapshots/${randomUUID()}`,
      {
        conditions: [{key: CATALOG_KEY, version: stored.rowVersion}],
        writes: [
          {
            kind: 'put',
            key: CATALOG_KEY,
            value: catalog as unknown as JsonValue,
          },
        ],
      },
    );
    switch (written.kind) {
      case 'committed':
        return success(true);
      case 'conflict':
        return success(false);
      case 'unavailable':
        return failure(written.error);
      case 'uncertain': {
        const {peer, reason} = written;
        return failure({kind: 'unavailable', step: 'commit', peer, reason});
      }
    }
  }

  /**
   * Writes the copy of the catalog. It may be older than the table; a host that
   * starts from it catches up with the log later.
   */
  private async writeCopy(catalog: SnapshotCatalog): Promise<void> {
    const bytes = new TextEncoder().encode(JSON.stringify(catalog));
    await this.options.objectStore.put(CATALOG_COPY_NAME, bytes);
  }

  private async removeRowsUntil(
    version: number,
  ): Promise<Result<number, PlatformError>> {
    let removed = 0;
    const last = logKey(version);
    for (;;) {
      const rows = await this.options.table.scan(LOG_PREFIX, {
        limit: ROWS_PER_TRANSACTION,
      });
      if (!rows.ok) return rows;
      const keys = rows.value.map(row => row.key).filter(key => key <= last);
      if (keys.length === 0) return success(removed);
      // No conditions are needed: log rows never change, and removing one twice
      // has no effect.
      const result = await this.options.table.commit({
        conditions: [],
        writes: keys.map(key => ({kind: 'delete', key})),
      });
      if (result.kind === 'unavailable') return failure(result.error);
      if (result.kind !== 'committed') {
        const reason = 'The answer to a removal of log rows was lost';
        const peer = 'table';
        return failure({kind: 'unavailable', step: 'commit', peer, reason});
      }
      removed += keys.length;
    }
  }
}
