import {z} from 'zod';
import {failure, type Result, success} from '../errors/mod.ts';
import type {PlatformError, TableService} from '../stores/mod.ts';

/** Key of the row that names the snapshots in use. */
export const CATALOG_KEY = 'snapshots';

const referenceSchema = z.object({
  version: z.number().int().nonnegative(),
  /** Name of the object; no other content is ever written under it. */
  name: z.string().min(1),
  /** SHA-256 digest of the whole object, in hexadecimal. */
  digest: z.string(),
});

/** A snapshot in the object store. */
export type SnapshotReference = z.infer<typeof referenceSchema>;

/** Schema of {@link SnapshotCatalog}. */
export const catalogSchema = z.object({
  /** Latest snapshot that was read back and checked. */
  current: referenceSchema.nullable(),
  /** The one before; log rows after its version are kept. */
  previous: referenceSchema.nullable(),
  /** The host that writes a snapshot now. */
  writer: z
    .object({hostId: z.string(), at: z.iso.datetime()})
    .nullable()
    .default(null),
});

/** Which snapshots there are. */
export type SnapshotCatalog = z.infer<typeof catalogSchema>;

/** The catalog, with the version of its row. */
export interface StoredCatalog {
  readonly catalog: SnapshotCatalog;
  /** Null when there is no row yet. */
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
