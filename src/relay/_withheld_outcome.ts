import {REQUEST_ERROR_CODES} from '../errors/mod.ts';
import type {AttemptOutcome} from './_attempt_outcome.ts';
import {dispatchError} from './_dispatch_error.ts';

/** Outcome of a stream that has run, and of which nothing may be forwarded. */
export function withheldOutcome(): AttemptOutcome {
  const reason = 'the software version of the stream is not recorded';
  const code = REQUEST_ERROR_CODES.originUnrecorded;
  return {kind: 'withheld', reason, error: dispatchError(code, reason, false)};
}
