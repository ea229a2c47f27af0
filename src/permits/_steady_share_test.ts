import {expect, test} from 'vitest';
import {SteadyShare} from './_steady_share.ts';

const CASES = [
  {name: 'a first share is held', observed: [[0, 0.5]], lowest: 0.5},
  {
    name: 'a granter that follows another one waits',
    observed: [
      [0, 0],
      [100, 1],
      [900, 1],
      [1599, 1],
    ],
    lowest: 0,
  },
  {
    name: 'and then grants',
    observed: [
      [0, 0],
      [100, 1],
      [900, 1],
      [1600, 1],
    ],
    lowest: 1,
  },
  {
    name: 'a share that falls counts at once',
    observed: [
      [0, 1],
      [100, 0.5],
    ],
    lowest: 0.5,
  },
  {
    name: 'a host that was stopped waits',
    observed: [
      [0, 1],
      [1001, 1],
      [2000, 1],
      [2500, 1],
    ],
    lowest: 0,
  },
  {
    name: 'a busy host does not',
    observed: [
      [0, 1],
      [1000, 1],
    ],
    lowest: 1,
  },
];

// A host that grants what another one has granted in the same second exceeds the limit.
test.each(CASES)('$name', ({observed, lowest}) => {
  const share = new SteadyShare();
  for (const [now = 0, value = 0] of observed) share.observe(now, value);
  expect(share.lowest).toBe(lowest);
});
