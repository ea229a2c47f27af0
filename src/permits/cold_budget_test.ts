import {expect, test} from 'vitest';
import {coldBudget} from './mod.ts';

const CASES = [
  {requestsPerSecond: 14, overrun: 1.5, slack: 5, granted: 14},
  {requestsPerSecond: 14, overrun: 1, slack: 0, granted: 9.5},
  {requestsPerSecond: 2, overrun: 1.5, slack: 5, granted: 2},
  {requestsPerSecond: 100, overrun: 1.5, slack: 100, granted: 100},
];

// The granter and the hosts that do not reach it send in the same second.
test.each(CASES)(
  'permits and shares fit into $requestsPerSecond x $overrun + $slack',
  ({granted, ...terms}) => {
    const budget = coldBudget(terms);
    const {grantedPerSecond, accumulated, sharedPerSecond, limit} = budget;
    expect(grantedPerSecond).toBe(granted);
    expect(accumulated).toBeGreaterThanOrEqual(1);
    expect(sharedPerSecond).toBeGreaterThan(0);
    expect(
      grantedPerSecond + accumulated + sharedPerSecond,
    ).toBeLessThanOrEqual(limit);
  },
);
