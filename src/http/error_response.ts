import type {Response} from 'express';
import {
  REQUEST_ERROR_CODES,
  type RequestError,
  type RequestErrorCode,
} from '../errors/mod.ts';

/** HTTP status of each error code. */
const STATUS_BY_CODE = {
  [REQUEST_ERROR_CODES.invalidRequest]: 400,
  [REQUEST_ERROR_CODES.requestTooLarge]: 413,
  [REQUEST_ERROR_CODES.invalidApiKey]: 401,
  [REQUEST_ERROR_CODES.contractEnded]: 403,
  [REQUEST_ERROR_CODES.modelNotFound]: 404,
  [REQUEST_ERROR_CODES.routeNotFound]: 404,
  [REQUEST_ERROR_CODES.rateLimited]: 429,
  [REQUEST_ERROR_CODES.deadlineExceeded]: 504,
  [REQUEST_ERROR_CODES.noReplica]: 503,
  [REQUEST_ERROR_CODES.viewUnconfirmed]: 503,
  [REQUEST_ERROR_CODES.tableUnavailable]: 503,
  [REQUEST_ERROR_CODES.idempotencyConflict]: 422,
  [REQUEST_ERROR_CODES.requestInProgress]: 409,
  [REQUEST_ERROR_CODES.outcomeUnknown]: 409,
  [REQUEST_ERROR_CODES.quarantined]: 422,
  [REQUEST_ERROR_CODES.endpointFailed]: 502,
  [REQUEST_ERROR_CODES.originUnknown]: 503,
  // An endpoint has run the stream, which 503 would deny.
  [REQUEST_ERROR_CODES.originUnrecorded]: 502,
  [REQUEST_ERROR_CODES.overloaded]: 503,
  [REQUEST_ERROR_CODES.draining]: 503,
  // The caller has disconnected; 499 is the usual status for this in access logs.
  [REQUEST_ERROR_CODES.cancelled]: 499,
  [REQUEST_ERROR_CODES.internal]: 500,
} as const satisfies Record<RequestErrorCode, number>;

/** Returns the error type that OpenAI clients expect for a status. */
function errorType(status: number): string {
  if (status === 401) return 'authentication_error';
  if (status === 403) return 'permission_error';
  if (status === 429) return 'rate_limit_error';
  return status < 500 ? 'invalid_request_error' : 'server_error';
}

/** Body of an error response. */
export interface ErrorBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: RequestErrorCode;
    readonly param: null;
    /** Whether the request ran: `not_run`, `unknown` or `run`. */
    readonly run: string;
    readonly step: string;
    readonly peer?: string;
  };
}

/** Creates an error body in the format that OpenAI clients expect. */
export function errorBody(error: RequestError): ErrorBody {
  return {
    error: {
      message: error.message,
      type: errorType(STATUS_BY_CODE[error.code]),
      code: error.code,
      param: null,
      run: error.run,
      step: error.step,
      ...(error.peer === undefined ? {} : {peer: error.peer}),
    },
  };
}

/** Sends an error response, with `Retry-After` if the error states a delay. */
export function sendError(response: Response, error: RequestError): void {
  if (error.retryAfterMilliseconds !== undefined) {
    const seconds = Math.max(1, Math.ceil(error.retryAfterMilliseconds / 1000));
    response.set('Retry-After', String(seconds));
  }
  response.set('X-Limpetdale-Run', error.run);
  // OpenAI clients retry 409 and 5xx responses automatically. Unless the request
  // certainly did not run, the caller must decide by the run state.
  if (error.run !== 'not_run') response.set('X-Should-Retry', 'false');
  response.status(STATUS_BY_CODE[error.code]).json(errorBody(error));
}
