import {expect, it} from 'vitest';
import {TokenBucket, type TokenHold} from './token_bucket.ts';

interface Step {
  /** Time in seconds. */
  at: number;
  act: (bucket: TokenBucket, holds: TokenHold[]) => unknown;
}

const take = (tokens: number) => (bucket: TokenBucket, holds: TokenHold[]) => {
  const hold = bucket.take(tokens);
  if (hold !== undefined) holds.push(hold);
};
const lend =
  (tokens: number, expiresAt: number) =>
  (bucket: TokenBucket, holds: TokenHold[]) => {
    const hold = bucket.lend(tokens, expiresAt * 1000);
    if (hold !== undefined) holds.push(hold);
  };
const refund =
  (index: number, tokens: number) =>
  (bucket: TokenBucket, holds: TokenHold[]) =>
    bucket.refund(holds[index]!, tokens);

// Rate 10 tokens per second, burst 100, empty at 0 s.
const CASES: {
  guardsAgainst: string;
  steps: Step[];
  at: number;
  level: number;
}[] = [
  {
    guardsAgainst: 'a new bucket that is not empty',
    steps: [],
    at: 0,
    level: 0,
  },
  {
    guardsAgainst: 'a level above the burst',
    steps: [],
    at: 60,
    level: 100,
  },
  {
    guardsAgainst: 'a refund that raises a refilled bucket above its burst',
    steps: [
      {at: 10, act: take(60)},
      {at: 16, act: refund(0, 60)},
    ],
    at: 16,
    level: 100,
  },
  {
    guardsAgainst: 'a late refund that can be spent in addition to the burst',
    steps: [
      {at: 10, act: take(100)},
      {at: 20, act: take(100)},
      {at: 21, act: refund(0, 100)},
    ],
    at: 21,
    level: 10,
  },
  {
    guardsAgainst: 'a refund that is counted twice',
    steps: [
      {at: 10, act: take(60)},
      {at: 10, act: refund(0, 60)},
      {at: 10, act: take(80)},
      {at: 10, act: refund(0, 60)},
    ],
    at: 10,
    level: 20,
  },
  {
    guardsAgainst: 'refill while a borrower may still spend the whole burst',
    steps: [{at: 10, act: lend(100, 13)}],
    at: 13,
    level: 0,
  },
  {
    guardsAgainst: 'an expired loan that still prevents refill',
    steps: [{at: 10, act: lend(100, 13)}],
    at: 15,
    level: 20,
  },
  {
    guardsAgainst: 'long requests that prevent refill at the rate of the team',
    steps: [{at: 10, act: take(100)}],
    at: 14,
    level: 40,
  },
  {
    guardsAgainst: 'a level above a lowered burst',
    steps: [
      {
        at: 10,
        act: bucket =>
          bucket.reconfigure({tokensPerSecond: 10, burstTokens: 30}, 10_000),
      },
    ],
    at: 20,
    level: 30,
  },
  {
    guardsAgainst: 'a refund that exceeds a lowered burst',
    steps: [
      {at: 10, act: take(80)},
      {
        at: 10,
        act: bucket =>
          bucket.reconfigure({tokensPerSecond: 1, burstTokens: 30}, 10_000),
      },
      {at: 10, act: refund(0, 80)},
    ],
    at: 10,
    level: 30,
  },
  {
    guardsAgainst: 'applying a changed rate to the time before the change',
    steps: [
      {
        at: 0,
        act: bucket =>
          bucket.reconfigure({tokensPerSecond: 1, burstTokens: 100}, 5000),
      },
    ],
    at: 10,
    level: 55,
  },
  {
    guardsAgainst:
      'an earlier loan that raises the level above a lowered burst',
    steps: [
      {at: 10, act: lend(100, 13)},
      {
        at: 10,
        act: bucket =>
          bucket.reconfigure({tokensPerSecond: 10, burstTokens: 30}, 10_000),
      },
    ],
    at: 30,
    level: 30,
  },
];

it.each(CASES)('prevents $guardsAgainst', ({steps, at, level}) => {
  const bucket = new TokenBucket({tokensPerSecond: 10, burstTokens: 100}, 0);
  const holds: TokenHold[] = [];
  for (const step of steps) {
    bucket.advance(step.at * 1000);
    step.act(bucket, holds);
  }
  bucket.advance(at * 1000);
  expect(bucket.level).toBeCloseTo(level, 6);
  const {burstTokens} = bucket.terms;
  expect(bucket.level + bucket.unsettled).toBeLessThanOrEqual(
    burstTokens + 1e-6,
  );
});
