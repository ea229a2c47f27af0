import {expect, it} from 'vitest';
import {decideRetry, type FailedAttempt} from './retry_policy.ts';

const ALLOWED: FailedAttempt = {
  repeatable: true,
  run: 'unknown',
  delivered: false,
  attempts: 1,
  maximumAttempts: 4,
  remainingMilliseconds: 1000,
  ending: false,
  takeRetry: () => true,
};

// Guards against a second run of a request that may run only once, against
// responses assembled from two runs, and against unlimited retries.
it.each<{
  name: string;
  change: Partial<FailedAttempt>;
  reason: string | undefined;
}>([
  {name: 'repeatable, may have run', change: {}, reason: undefined},
  {
    name: 'not repeatable, proved not to have run',
    change: {repeatable: false, run: 'not_run'},
    reason: undefined,
  },
  {
    name: 'not repeatable, may have run',
    change: {repeatable: false},
    reason: 'not_repeatable',
  },
  {
    name: 'not repeatable, has run',
    change: {repeatable: false, run: 'run'},
    reason: 'not_repeatable',
  },
  {
    name: 'a part was delivered',
    change: {delivered: true, run: 'not_run'},
    reason: 'delivered',
  },
  {name: 'the last attempt', change: {attempts: 4}, reason: 'attempts'},
  {
    name: 'no time is left',
    change: {remainingMilliseconds: 9},
    reason: 'deadline',
  },
  {name: 'the caller left', change: {ending: true}, reason: 'ending'},
  {
    name: 'the budget is used up',
    change: {takeRetry: () => false},
    reason: 'budget',
  },
])('decides whether to retry: $name', ({change, reason}) => {
  const decision = decideRetry({...ALLOWED, ...change});
  expect(decision.allowed ? undefined : decision.reason).toBe(reason);
});

it('does not charge the retry budget for a retry that is not allowed', () => {
  let taken = 0;
  const takeRetry = () => ++taken > 0;
  decideRetry({...ALLOWED, delivered: true, takeRetry});
  decideRetry({...ALLOWED, attempts: 4, takeRetry});
  expect(taken).toBe(0);
});
