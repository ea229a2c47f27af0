import {randomBytes} from 'node:crypto';
import type {KeyRecord} from '../contracts/mod.ts';
import {digestSecret} from './digest_secret.ts';

/** A new key: its record, and its secret, which is shown only once. */
export interface IssuedKey {
  readonly record: KeyRecord;
  readonly secret: string;
}

const SECRET_BYTES = 32;
const KEY_ID_BYTES = 9;

/**
 * Generates a key for a team. Does not store the record.
 *
 * @example
 * ```ts
 * const {record, secret} = issueKey('workshop');
 * ```
 */
export function issueKey(team: string): IssuedKey {
  const keyId = `key-${randomBytes(KEY_ID_BYTES).toString('hex')}`;
  const secret = `ld-${randomBytes(SECRET_BYTES).toString('base64url')}`;
  const digest = digestSecret(secret);
  return {record: {keyId, team, digest, withdrawn: false}, secret};
}
