import {
  type RequestError,
  type RequestErrorCode,
  type RequestStep,
  RUN_STATES,
} from '../errors/mod.ts';

/** Error of a request that no endpoint has executed. */
export function notRunError(
  code: RequestErrorCode,
  step: RequestStep,
  message: string,
  retryAfterMilliseconds?: number,
): RequestError {
  return {
    code,
    step,
    message,
    run: RUN_STATES.notRun,
    ...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds}),
  };
}
