/**
 * Error and result types shared by all modules.
 *
 * @module
 */
export {isConnectFailureCode} from './is_connect_failure_code.ts';
export {
  REQUEST_ERROR_CODES,
  type RequestError,
  type RequestErrorCode,
} from './request_error.ts';
export {REQUEST_STEPS, type RequestStep} from './request_step.ts';
export {failure, type Result, success} from './result.ts';
export {RUN_STATES, type RunState} from './run_state.ts';
export {unreachable} from './unreachable.ts';
