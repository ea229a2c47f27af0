import {RUN_STATES, type RunState} from '../errors/mod.ts';

/** Facts about a failed attempt, from which {@link decideRetry} decides. */
export interface FailedAttempt {
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** What this attempt may have done at the endpoint. */
  readonly run: RunState;
  /** Whether any part of a response has reached the caller. */
  readonly delivered: boolean;
  /** Number of attempts so far, including this one. */
  readonly attempts: number;
  readonly maximumAttempts: number;
  readonly remainingMilliseconds: number;
  /** Whether the request was aborted: disconnected caller, invalid key or deadline. */
  readonly ending: boolean;
  /** Withdraws one retry from the budget; false when the budget is exhausted. */
  readonly takeRetry: () => boolean;
}

/** Decision of {@link decideRetry}. */
export type RetryDecision =
  | {readonly allowed: true}
  | {
      readonly allowed: false;
      readonly reason:
        | 'ending'
        | 'delivered'
        | 'not_repeatable'
        | 'attempts'
        | 'deadline'
        | 'budget';
    };

/** An attempt needs at least this long to connect and receive a response. */
const MINIMUM_ATTEMPT_MILLISECONDS = 10;

/** Decides whether a failed request may be retried. */
export function decideRetry(attempt: FailedAttempt): RetryDecision {
  if (attempt.ending) return {allowed: false, reason: 'ending'};
  if (attempt.delivered) return {allowed: false, reason: 'delivered'};
  if (!attempt.repeatable && attempt.run !== RUN_STATES.notRun) {
    return {allowed: false, reason: 'not_repeatable'};
  }
  if (attempt.attempts >= attempt.maximumAttempts) {
    return {allowed: false, reason: 'attempts'};
  }
  if (attempt.remainingMilliseconds < MINIMUM_ATTEMPT_MILLISECONDS) {
    return {allowed: false, reason: 'deadline'};
  }
  if (!attempt.takeRetry()) return {allowed: false, reason: 'budget'};
  return {allowed: true};
}
