import {
  failure,
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
  type RequestErrorCode,
  type Result,
  RUN_STATES,
} from '../errors/mod.ts';
import type {ServiceConfiguration} from '../deployment/mod.ts';
import type {Endpoint} from '../fleet/mod.ts';
import type {RoutedRequest} from '../relay/mod.ts';

/** Default delay that refused callers are told to wait before a retry. */
export const RETRY_AFTER_MILLISECONDS = 500;

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

/**
 * Refuses a request for what the configuration has contained when it arrived but no
 * longer does: no host loads its model any more.
 *
 * @param current The service in the current configuration.
 */
export function removedRefusal(
  {service: {name}, metadata: {model = ''}}: RoutedRequest,
  current: ServiceConfiguration | undefined,
): Result<Endpoint, RequestError> | undefined {
  if (current === undefined) {
    return refusal(
      REQUEST_ERROR_CODES.noReplica,
      `Service "${name}" is no longer configured`,
      RETRY_AFTER_MILLISECONDS,
    );
  }
  return current.engines?.models.has(model) === true
    ? undefined
    : modelNotFound(name, model);
}

/**
 * Refuses a request for a service that has no endpoint for it.
 *
 * @param roomInMilliseconds Time until one takes requests; not finite if that is unknown.
 */
export function noEndpoint(
  service: string,
  roomInMilliseconds: number,
): Result<Endpoint, RequestError> {
  return refusal(
    REQUEST_ERROR_CODES.overloaded,
    `No endpoint of "${service}" can be used`,
    Number.isFinite(roomInMilliseconds)
      ? Math.max(1, roomInMilliseconds)
      : RETRY_AFTER_MILLISECONDS,
  );
}

/** Refuses a request for which the engines have no room in its time. */
export function noRoomInTime(
  target: string,
  retryAfterMilliseconds?: number,
): Result<Endpoint, RequestError> {
  return refusal(
    REQUEST_ERROR_CODES.overloaded,
    `The engines that have loaded "${target}" have no room within the caller's time-out`,
    retryAfterMilliseconds,
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
