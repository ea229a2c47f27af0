import type {RequestStep} from './request_step.ts';
import type {RunState} from './run_state.ts';

/** Stable error codes returned to callers. */
export const REQUEST_ERROR_CODES = {
  invalidRequest: 'invalid_request',
  requestTooLarge: 'request_too_large',
  invalidApiKey: 'invalid_api_key',
  contractEnded: 'contract_ended',
  modelNotFound: 'model_not_found',
  routeNotFound: 'route_not_found',
  rateLimited: 'rate_limit_exceeded',
  deadlineExceeded: 'deadline_exceeded',
  noReplica: 'no_replica',
  viewUnconfirmed: 'view_unconfirmed',
  tableUnavailable: 'table_unavailable',
  idempotencyConflict: 'idempotency_conflict',
  requestInProgress: 'request_in_progress',
  outcomeUnknown: 'outcome_unknown',
  quarantined: 'request_quarantined',
  endpointFailed: 'endpoint_failed',
  originUnknown: 'stream_origin_unknown',
  originUnrecorded: 'stream_origin_unrecorded',
  overloaded: 'overloaded',
  draining: 'host_draining',
  cancelled: 'request_cancelled',
  internal: 'internal_error',
} as const;

/** One of {@link REQUEST_ERROR_CODES}. */
export type RequestErrorCode =
  (typeof REQUEST_ERROR_CODES)[keyof typeof REQUEST_ERROR_CODES];

/** Error of one request, with the step and the peer at which it occurred. */
export interface RequestError {
  readonly code: RequestErrorCode;
  readonly message: string;
  readonly step: RequestStep;
  /** Address or name of the remote peer; undefined when none was involved. */
  readonly peer?: string;
  readonly run: RunState;
  /** Milliseconds after which a retry may succeed. */
  readonly retryAfterMilliseconds?: number;
}
