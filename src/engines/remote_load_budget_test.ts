import {describe, expect, test} from 'vitest';
import {RemoteLoadBudget} from './mod.ts';

describe('RemoteLoadBudget', () => {
  // Guards against starting loads faster than the weight store allows (the
  // property CEILING), even if every load ends at once.
  test.each([0.4, 1, 3.3, 43])(
    'at %d loads per second, starts stay below the limit',
    loadsPerSecond => {
      const budget = new RemoteLoadBudget({loadsPerSecond, startsAt: 0});
      const starts: number[] = [];
      for (let now = 0; now < 30_000; now += 20) {
        if (budget.allowed(now) < 1) continue;
        budget.begin(now);
        budget.end(10, 10);
        starts.push(now);
      }
      const limit = loadsPerSecond * 5 * 1.1 + 3;
      for (const from of starts) {
        const started = starts.filter(at => at >= from && at < from + 5000);
        expect(started.length).toBeLessThanOrEqual(limit);
      }
    },
  );

  test('slow loads lower the concurrency limit', () => {
    const budget = new RemoteLoadBudget({loadsPerSecond: 10, startsAt: 0});
    const before = budget.allowed(0);
    budget.begin(0);
    budget.end(9000, 6000);
    expect(budget.allowed(6000)).toBe(before - 1);
  });

  test("no load starts before the manager's term", () => {
    const budget = new RemoteLoadBudget({loadsPerSecond: 10, startsAt: 3000});
    expect(budget.allowed(2999)).toBe(0);
    expect(budget.allowed(3000)).toBeGreaterThan(0);
  });

  // The store serves a number of loads at full speed that no page tells, and slows
  // all down in proportion beyond it.
  test.each([
    {atFullSpeed: 2, expected: 2},
    {atFullSpeed: 4, expected: 4},
    {atFullSpeed: 8, expected: 8},
  ])(
    'a store that serves $atFullSpeed loads at full speed gets $expected',
    ({atFullSpeed, expected}) => {
      const budget = new RemoteLoadBudget({loadsPerSecond: 50, startsAt: 0});
      for (let now = 0; now < 400_000; now += 20_000) {
        const count = budget.allowed(now);
        for (let load = 0; load < count; load++) budget.begin(now);
        const took = 6000 * Math.max(1, count / atFullSpeed);
        for (let load = 0; load < count; load++) budget.end(took, 6000);
      }
      expect(budget.allowed(400_000)).toBe(expected);
    },
  );
});
