import {RUN_STATES, type RunState} from '../errors/mod.ts';

/** What is known when an attempt has failed. */
export interface FailedAttempt {
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** What this attempt may have done at the endpoint. */
  readonly run: RunState;
  /** Whether any part of an answer has reached the caller. */
  readonly delivered: boolean;
  /** Attempts so far. */
  readonly attempts: number;
  readonly maximumAttempts: number;
  readonly remainingMilliseconds: number;
  /** Whether the request must end, since the caller left or its key is gone. */
  readonly ending: boolean;
  /** Takes one retry out of the budget; false when it is used up. */
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

/** Less time than this does not suffice for a connection and an answer. */
const MINIMUM_ATTEMPT_MILLISECONDS = 10;

/** Decides whether a request may be sent to an endpoint once more. */
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
