import type {Authority, Contract} from '../contracts/mod.ts';
import {
  failure,
  REQUEST_ERROR_CODES,
  type RequestError,
  type Result,
  success,
} from '../errors/mod.ts';
import {authenticate, type AuthenticationError} from '../keys/mod.ts';
import type {OpenRequest} from './open_request.ts';
import type {RequestPathOptions} from './request_path_options.ts';

/**
 * Authenticates a caller and returns its contract. Fails unless this host's
 * view of the authority is confirmed.
 */
export function identifyCaller(
  options: RequestPathOptions,
  open: OpenRequest,
  authorization: string | undefined,
): Result<Contract, RequestError> {
  const unconfirmed = requireConfirmedView(options, open);
  if (unconfirmed !== undefined) return failure(unconfirmed);
  const identity = authenticate(
    options.authority(),
    authorization,
    options.clock.now(),
  );
  if (!identity.ok) return failure(authenticationError(open, identity.error));
  open.keyId = identity.value.keyId;
  return success(identity.value.contract);
}

/** Returns an error unless this host's copy of the authority is confirmed. */
export function requireConfirmedView(
  options: RequestPathOptions,
  open: OpenRequest,
): RequestError | undefined {
  if (options.view.isConfirmed()) return undefined;
  return open.error(
    REQUEST_ERROR_CODES.viewUnconfirmed,
    'This host cannot confirm that its configuration is current',
  );
}

/** Whether a contract lets its team call a model or adapter. */
export function mayCallModel(
  authority: Authority,
  contract: Contract,
  name: string,
): boolean {
  return (
    (authority.models.has(name) && contract.models.includes(name)) ||
    (authority.adapters.has(name) && contract.adapters.includes(name))
  );
}

function authenticationError(
  open: OpenRequest,
  error: AuthenticationError,
): RequestError {
  const {invalidApiKey, contractEnded} = REQUEST_ERROR_CODES;
  switch (error.kind) {
    case 'missing_key':
      return open.error(invalidApiKey, 'The request has no API key');
    case 'unknown_key':
      return open.error(invalidApiKey, 'The API key is not known');
    case 'withdrawn_key':
      return open.error(invalidApiKey, 'The API key has been withdrawn');
    case 'contract_ended':
      return open.error(
        contractEnded,
        `The contract of team "${error.team}" has ended`,
      );
  }
}
