import type {DispatchWindow} from './dispatch_window.ts';
import type {RoutedRequest} from './endpoint_source.ts';

/** Time that is left to a request when it is sent to an endpoint, in milliseconds. */
export interface DispatchTimes {
  /** Until its deadline. */
  readonly remainingMilliseconds: number;
  /** Until its caller disconnects if no response has begun. */
  readonly patienceMilliseconds: number;
  /** Expected duration of a run; 0 if that is not known. */
  readonly expectedMilliseconds: number;
}

/**
 * Returns the time that is left to a request.
 *
 * @param sentAt Monotonic time at which it is sent.
 */
export function dispatchTimes(
  request: RoutedRequest,
  sentAt: number,
  dispatchWindow: Pick<DispatchWindow, 'expected'>,
): DispatchTimes {
  const {arrivedAt, deadlineAt, route} = request;
  const patienceEndsAt = arrivedAt + route.callerTimeoutMilliseconds;
  return {
    remainingMilliseconds: Math.round(deadlineAt - sentAt),
    patienceMilliseconds: Math.round(patienceEndsAt - sentAt),
    expectedMilliseconds: Math.round(dispatchWindow.expected(request)),
  };
}
