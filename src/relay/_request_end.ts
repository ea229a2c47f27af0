import type {Clock} from '../time/mod.ts';
import type {AttemptContext} from './_attempt_context.ts';

/** Ends the attempts of one request. */
export interface RequestEnd {
  /** Aborted once nothing more may be done for the request. */
  readonly signal: AbortSignal;
  /** Stops watching; called when the request has ended. */
  readonly dispose: () => void;
}

/**
 * Watches for what ends a request: its caller leaves, its deadline passes, or its host
 * stops before the response has begun.
 */
export function watchRequestEnd(
  {
    callerLeft,
    hostStops,
    request,
    response,
  }: Pick<AttemptContext, 'callerLeft' | 'hostStops' | 'request' | 'response'>,
  clock: Clock,
): RequestEnd {
  const controller = new AbortController();
  const abort = () => controller.abort();
  const abortUnanswered = () => {
    if (!response.headersSent) abort();
  };
  callerLeft.addEventListener('abort', abort, {once: true});
  hostStops.addEventListener('abort', abortUnanswered, {once: true});
  const remaining = request.deadlineAt - clock.monotonicMilliseconds();
  const cancelTimer = clock.startTimer(remaining, abort);
  return {
    signal: controller.signal,
    dispose: () => {
      cancelTimer();
      callerLeft.removeEventListener('abort', abort);
      hostStops.removeEventListener('abort', abortUnanswered);
    },
  };
}
