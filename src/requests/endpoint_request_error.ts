import type {EndpointError} from '../endpoints/mod.ts';
import {REQUEST_ERROR_CODES, type RequestError} from '../errors/mod.ts';
import type {OpenRequest} from './open_request.ts';

/** Rejection code of engines whose queue is full. */
const OVERLOADED = 'overloaded';

/** Converts the failure of an endpoint to the error returned to the caller. */
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
