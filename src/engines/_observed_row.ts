import type {LeaseContent} from './_lease_content.ts';

/** Row of a lease as it was read. */
export interface ObservedRow {
  /** Content of the row; undefined if there is none or it cannot be decoded. */
  readonly content: LeaseContent | undefined;
  /** Version of the row; 0 if there is none. */
  readonly version: number;
  /** Era of the store in which the row was read. */
  readonly era: number;
  /** Monotonic time since which the row is known to be unchanged. */
  readonly unchangedSince: number;
}

/**
 * Whether a row was written in the era in which it was read. Any other row says nothing
 * about the holders of this era: it was restored, or a transaction of an older era was
 * carried out late and has replaced the row of a later holder.
 */
export function isOfOwnEra(
  row: ObservedRow,
): row is ObservedRow & {readonly content: LeaseContent} {
  return row.content?.era === row.era;
}
