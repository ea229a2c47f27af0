import {REQUEST_ERROR_CODES, type RequestErrorCode} from '../errors/mod.ts';

/** What is known about a request that no endpoint has answered. */
export interface FailureCircumstances {
  /** Whether the time of the request or of its last attempt has run out. */
  readonly hasTimedOut: boolean;
  /** Whether this host answers all its open requests, since it stops. */
  readonly isHostStopping: boolean;
}

/** Returns the code of the error that the caller gets. */
export function failureCode({
  hasTimedOut,
  isHostStopping,
}: FailureCircumstances): RequestErrorCode {
  if (hasTimedOut) return REQUEST_ERROR_CODES.deadlineExceeded;
  return isHostStopping
    ? REQUEST_ERROR_CODES.draining
    : REQUEST_ERROR_CODES.endpointFailed;
}
