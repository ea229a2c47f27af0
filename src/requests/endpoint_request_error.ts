import type {EndpointError} from '../endpoints/mod.ts';
import {REQUEST_ERROR_CODES, type RequestError} from '../errors/mod.ts';
import type {OpenRequest} from './open_request.ts';

/** Code with which engines refuse requests above their queue limit. */
const OVERLOADED = 'overloaded';

/** The error that a caller sees for the failure of an endpoint. */
export function endpointRequestError(
  open: OpenRequest,
  error: EndpointError,
): RequestError {
  const ending = open.abortError();
  if (ending !== undefined) return ending;
  const {endpointFailed, overloaded} = REQUEST_ERROR_CODES;
  const code =
    error.kind === 'rejected' && error.code === OVERLOADED
      ? overloaded
      : endpointFailed;
  const message = `Endpoint "${error.peer}" failed at step "${error.step}" (${error.kind}): ${error.reason}`;
  return open.error(code, message, error.peer);
}
