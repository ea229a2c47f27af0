import type {Route} from '../deployment/mod.ts';

/**
 * Maximum number of times one request is sent, including attempts that no
 * endpoint executed.
 */
export const MAXIMUM_DISPATCHES = 4;

/**
 * Fraction of the latency objective for which an attempt may wait for the trial of
 * a suspected part of its prompt.
 */
export const HOLD_SHARE = 0.4;

/**
 * Fraction of the remaining time that an attempt at an idempotent request may
 * take. It leaves time for a retry when an endpoint does not respond.
 */
const RESPONSE_TIMEOUT_SHARE = 0.45;

/** Returns the milliseconds within which the head of a response must arrive. */
export function responseTimeout(
  route: Route,
  runCount: number,
  remainingMilliseconds: number,
): number {
  const hasAnother =
    route.kind === 'idempotent' && runCount + 1 < route.maximumAttempts;
  const share = hasAnother ? RESPONSE_TIMEOUT_SHARE : 1;
  return Math.max(1, remainingMilliseconds * share);
}

/** Whether a request that an endpoint may have executed may be sent to another one. */
export function mayRunAgain(route: Route, runCount: number): boolean {
  if (route.kind === 'non_idempotent') return false;
  if (route.kind === 'streaming' && !route.resumable) return false;
  return runCount < route.maximumAttempts;
}

/** Statuses that tell callers that a request was not executed. */
export const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([
  408, 421, 429, 503,
]);
