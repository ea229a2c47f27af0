import {z} from 'zod';
import {failure, type Result, success} from '../errors/mod.ts';
import type {PlatformError, TableService} from '../stores/mod.ts';

/** Key of the table row that contains the {@link SnapshotCatalog}. */
export const CATALOG_KEY = 'snapshots';

const referenceSchema = z.object({
  version: z.number().int().nonnegative(),
  /** Name of the object; includes the digest, so its content never changes. */
  name: z.string().min(1),
  /** SHA-256 digest of the object, in hexadecimal. */
  digest: z.string(),
});

/** A snapshot in the object store. */
export type SnapshotReference = z.infer<typeof referenceSchema>;

/** Schema of {@link SnapshotCatalog}. */
export const catalogSchema = z.object({
  /** Latest snapshot that was read back and verified. */
  current: referenceSchema.nullable(),
  /** The previous snapshot; log rows after its version are kept. */
  previous: referenceSchema.nullable(),
  /** The host that claimed the writing of the next snapshot, and when. */
  writer: z
    .object({hostId: z.string(), at: z.iso.datetime()})
    .nullable()
    .default(null),
});

/** The snapshots in use, and which host is writing the next one. */
export type SnapshotCatalog = z.infer<typeof catalogSchema>;

/** The catalog and the version of its table row. */
export interface StoredCatalog {
  readonly catalog: SnapshotCatalog;
  /** Null if the row does not exist yet. */
  readonly rowVersion: number | null;
}

/** Catalog before the first snapshot. */
export const EMPTY_CATALOG: SnapshotCatalog = {
  current: null,
  previous: null,
  writer: null,
};

/** Reads the catalog from the table. */
export async function readCatalog(
  table: TableService,
): Promise<Result<StoredCatalog, PlatformError>> {
  const rows = await table.read([CATALOG_KEY]);
  if (!rows.ok) return rows;
  const row = rows.value[0];
  if (row === undefined) {
    return success({catalog: EMPTY_CATALOG, rowVersion: null});
  }
  const parsed = catalogSchema.safeParse(row.value);
  if (parsed.success) {
    return success({catalog: parsed.data, rowVersion: row.version});
  }
  return failure({
    kind: 'invalid_answer',
    step: 'read',
    peer: 'table',
    reason: `Row "${CATALOG_KEY}" cannot be read: ${z.prettifyError(parsed.error)}`,
  });
}
