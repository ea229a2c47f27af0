import {
  REQUEST_STEPS,
  type RequestError,
  type RequestErrorCode,
  RUN_STATES,
} from '../errors/mod.ts';

/** Creates the error of a request that no endpoint has answered. */
export function dispatchError(
  code: RequestErrorCode,
  message: string,
  isNotRun: boolean,
): RequestError {
  return {
    code,
    message,
    step: REQUEST_STEPS.dispatch,
    run: isNotRun ? RUN_STATES.notRun : RUN_STATES.unknown,
  };
}
