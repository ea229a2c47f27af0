import {
  failure,
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
  type RequestErrorCode,
  type Result,
  RUN_STATES,
} from '../errors/mod.ts';
import type {Endpoint} from '../fleet/mod.ts';

/** Refuses a request for a model that the configuration does not have. */
export function modelNotFound(
  service: string,
  model: string,
): Result<Endpoint, RequestError> {
  return refusal(
    REQUEST_ERROR_CODES.modelNotFound,
    `Service "${service}" has no model "${model}"`,
  );
}

/** Refuses a request whose time has ended before an engine could take it. */
export function notInTime(target: string): Result<Endpoint, RequestError> {
  return refusal(
    REQUEST_ERROR_CODES.noReplica,
    `No engine has loaded "${target}" in time`,
  );
}

/**
 * Retry-After of requests for a service whose endpoints are all evacuated. Nobody knows
 * when the operator will cancel the evacuation; callers notice the end a second later.
 */
const EVACUATED_RETRY_MILLISECONDS = 1000;

/** Refuses a request for a service whose endpoints are all in evacuated data centres. */
export function serviceEvacuated(
  service: string,
): Result<Endpoint, RequestError> {
  return refusal(
    REQUEST_ERROR_CODES.noReplica,
    `All data centres with endpoints of "${service}" are evacuated`,
    EVACUATED_RETRY_MILLISECONDS,
  );
}

/** Refuses a request that no endpoint has executed. */
export function refusal(
  code: RequestErrorCode,
  message: string,
  retryAfterMilliseconds?: number,
): Result<Endpoint, RequestError> {
  return failure({
    code,
    message,
    step: REQUEST_STEPS.place,
    run: RUN_STATES.notRun,
    ...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds}),
  });
}
