import {
  REQUEST_ERROR_CODES,
  type RequestError,
  type RequestStep,
  RUN_STATES,
} from '../errors/mod.ts';

/** Retry-After value sent by a stopping host; the retry goes to another host. */
const DRAINING_RETRY_MILLISECONDS = 50;

/** Error of a request that a stopping host has not sent to any endpoint. */
export function drainingError(step: RequestStep): RequestError {
  return {
    code: REQUEST_ERROR_CODES.draining,
    step,
    message: 'This host is stopping',
    run: RUN_STATES.notRun,
    retryAfterMilliseconds: DRAINING_RETRY_MILLISECONDS,
  };
}
