import {createHash} from 'node:crypto';
import type {EventLogger} from '../observability/mod.ts';
import type {ObjectStore, TableService} from '../stores/mod.ts';
import {
  catalogSchema,
  readCatalog,
  type SnapshotReference,
} from './_snapshot_catalog.ts';
import type {Authority} from './authority.ts';
import {decodeSnapshot} from './authority_snapshot.ts';

/**
 * Name of the object with a copy of the catalog, for hosts that cannot read the
 * table.
 */
export const CATALOG_COPY_NAME = 'authority-snapshots';

/** Options of {@link SnapshotReader}. */
export interface SnapshotReaderOptions {
  table: TableService;
  objectStore: ObjectStore;
  logger: EventLogger;
}

/** Reads the latest usable snapshot from the object store. */
export class SnapshotReader {
  constructor(private readonly options: SnapshotReaderOptions) {}

  /**
   * Reads the latest snapshot that is newer than `version` and passes all
   * checks.
   *
   * @returns The authority, or undefined if there is no such snapshot.
   */
  async readNewerThan(version: number): Promise<Authority | undefined> {
    const references = await this.listReferences();
    if (references.length === 0) this.reject('There is no snapshot');
    for (const reference of references) {
      if (reference.version <= version) continue;
      const authority = await this.read(reference);
      if (authority !== undefined) return authority;
    }
    return undefined;
  }

  /** Reads one snapshot and checks its digest, format and version. */
  async read(reference: SnapshotReference): Promise<Authority | undefined> {
    const {name, digest, version} = reference;
    const stored = await this.options.objectStore.get(name);
    if (!stored.ok) return this.reject(stored.error.kind, name);
    if (stored.value === undefined) return this.reject('Missing', name);
    if (digestBytes(stored.value) !== digest) {
      return this.reject('The digest does not match', name);
    }
    const decoded = decodeSnapshot(stored.value);
    if (!decoded.ok) return this.reject(decoded.error.reason, name);
    if (decoded.value.version !== version) {
      return this.reject(`The version is ${decoded.value.version}`, name);
    }
    return decoded.value;
  }

  /**
   * Snapshot references, latest first, from the table or, if that cannot be
   * read, from the copy in the object store.
   */
  private async listReferences(): Promise<readonly SnapshotReference[]> {
    const stored = await readCatalog(this.options.table);
    const catalog = stored.ok ? stored.value.catalog : await this.readCopy();
    return [catalog?.current, catalog?.previous].filter(
      reference => reference !== null && reference !== undefined,
    );
  }

  private async readCopy() {
    const stored = await this.options.objectStore.get(CATALOG_COPY_NAME);
    if (!stored.ok || stored.value === undefined) return undefined;
    try {
      const json: unknown = JSON.parse(new TextDecoder().decode(stored.value));
      return catalogSchema.parse(json);
    } catch {
      return this.reject('Unreadable', CATALOG_COPY_NAME);
    }
  }

  private reject(reason: string, name = ''): undefined {
    this.options.logger.event('snapshotRejected', {name, reason});
    return undefined;
  }
}

/** SHA-256 digest of an object, in hexadecimal. */
export function digestBytes(bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('hex');
}
