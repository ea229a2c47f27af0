import {z} from 'zod';

/** Key of the head row, which contains the latest version of the log. */
export const HEAD_KEY = 'head';

/** Prefix of the keys of log rows. */
export const LOG_PREFIX = 'log/';

/** Prefix of the rows that map a change id to its version. */
export const CHANGE_PREFIX = 'change/';

/** Schema of the head row, and of the rows under {@link CHANGE_PREFIX}. */
export const versionSchema = z.object({
  version: z.number().int().nonnegative(),
});

/**
 * Key of the log row at a version, zero-padded so that keys sort by version.
 */
export function logKey(version: number): string {
  return `${LOG_PREFIX}${String(version).padStart(12, '0')}`;
}

/** Key of the row that contains the version at which a change was committed. */
export function changeKey(changeId: string): string {
  return `${CHANGE_PREFIX}${changeId}`;
}
