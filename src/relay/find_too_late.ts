import {
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
} from '../errors/mod.ts';
import {dispatchError} from './_dispatch_error.ts';
import {drainingError} from './draining_error.ts';
import type {RoutedRequest} from './endpoint_source.ts';
import type {RequestRelayOptions} from './relay_options.ts';

/** Retry-After of a request that came too close to its deadline. */
const TOO_LATE_RETRY_MILLISECONDS = 500;

/**
 * Error of a request that must not be sent to an endpoint any more, because its run
 * would be for nothing or be cut when this host stops; undefined if it may be sent.
 */
export function findTooLate(
  request: RoutedRequest,
  {
    clock,
    dispatchWindow,
  }: Pick<RequestRelayOptions, 'clock' | 'dispatchWindow'>,
): RequestError | undefined {
  const now = clock.monotonicMilliseconds();
  if (now >= dispatchWindow.hostLimit(request))
    return drainingError(REQUEST_STEPS.dispatch);
  if (now < dispatchWindow.callerLimit(request)) return undefined;
  return {
    ...dispatchError(
      REQUEST_ERROR_CODES.overloaded,
      'No endpoint can respond before the caller stops waiting',
      true,
    ),
    retryAfterMilliseconds: TOO_LATE_RETRY_MILLISECONDS,
  };
}
