/**
 * API keys of teams: issuing keys, hashing their secrets, and authenticating
 * calls.
 *
 * @module
 */
export {
  authenticate,
  type AuthenticationError,
  checkKeyId,
  type Identity,
} from './authenticate.ts';
export {digestSecret} from './digest_secret.ts';
export {type IssuedKey, issueKey} from './issue_key.ts';
