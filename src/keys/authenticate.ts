import {timingSafeEqual} from 'node:crypto';
import type {Authority, Contract, KeyRecord} from '../contracts/mod.ts';
import {failure, type Result, success} from '../errors/mod.ts';
import {digestSecret} from './digest_secret.ts';

/** Result of authentication: the key, and the contract of its team. */
export interface Identity {
  readonly keyId: string;
  readonly contract: Contract;
}

/** Why authentication failed. */
export type AuthenticationError =
  | {readonly kind: 'missing_key'}
  | {readonly kind: 'unknown_key'}
  | {readonly kind: 'withdrawn_key'; readonly keyId: string}
  | {readonly kind: 'contract_ended'; readonly team: string};

/**
 * Keys by digest, for each collection of keys. An index stays valid, as
 * collections are never modified in place.
 */
const keysByDigest = new WeakMap<
  ReadonlyMap<string, KeyRecord>,
  ReadonlyMap<string, KeyRecord>
>();

/**
 * Authenticates a call by its `Authorization` header.
 *
 * @param authority State that contains the keys and contracts.
 * @param header Value of the header, such as `Bearer ld-…`.
 * @param now Wall-clock time, compared with the end of the contract.
 */
export function authenticate(
  authority: Authority,
  header: string | undefined,
  now: Date,
): Result<Identity, AuthenticationError> {
  const secret = /^Bearer\s+(\S+)$/i.exec(header ?? '')?.[1];
  if (secret === undefined) return failure({kind: 'missing_key'});
  const key = findKey(authority, digestSecret(secret));
  if (key === undefined) return failure({kind: 'unknown_key'});
  return checkKey(authority, key, now);
}

/** Checks whether a key that was accepted earlier is still valid. */
export function checkKeyId(
  authority: Authority,
  keyId: string,
  now: Date,
): Result<Identity, AuthenticationError> {
  const key = authority.keys.get(keyId);
  if (key === undefined) return failure({kind: 'unknown_key'});
  return checkKey(authority, key, now);
}

function checkKey(
  authority: Authority,
  key: KeyRecord,
  now: Date,
): Result<Identity, AuthenticationError> {
  const contract = authority.contracts.get(key.team);
  const ended =
    contract === undefined ||
    (contract.endsAt !== null && Date.parse(contract.endsAt) <= now.getTime());
  if (ended) return failure({kind: 'contract_ended', team: key.team});
  if (key.withdrawn) {
    return failure({kind: 'withdrawn_key', keyId: key.keyId});
  }
  return success({keyId: key.keyId, contract});
}

function findKey(authority: Authority, digest: string): KeyRecord | undefined {
  let index = keysByDigest.get(authority.keys);
  if (index === undefined) {
    index = new Map([...authority.keys.values()].map(key => [key.digest, key]));
    keysByDigest.set(authority.keys, index);
  }
  const key = index.get(digest);
  if (key === undefined) return undefined;
  // The look-up is by digest, which a caller cannot choose byte by byte, so its
  // timing reveals nothing useful. Comparing in constant time is an additional
  // precaution.
  const equal = timingSafeEqual(Buffer.from(digest), Buffer.from(key.digest));
  return equal ? key : undefined;
}
