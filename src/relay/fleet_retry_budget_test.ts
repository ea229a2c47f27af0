import {describe, expect, test} from 'vitest';
import {ManualClock} from '../testing/manual_clock.ts';
import {FleetRetryBudget} from './mod.ts';

const RATIO = 0.2;
const SLACK = 56;
const WINDOW_MILLISECONDS = 10_000;

describe('FleetRetryBudget', () => {
  interface Case {
    name: string;
    hosts: number;
    /** Requests per second and host; each one attempts a retry. */
    ratePerSecond: number;
  }
  const cases: Case[] = [
    {name: 'one busy host', hosts: 1, ratePerSecond: 100},
    {name: 'eight busy hosts', hosts: 8, ratePerSecond: 50},
    {name: 'eight idle hosts', hosts: 8, ratePerSecond: 0.5},
  ];
  // All endpoints fail, and every request is retried at once. Guards against
  // BUDGET violations: more retries than ratio x requests + slack in a window,
  // over all hosts.
  test.each(cases)('$name stay within the budget', entry => {
    const clock = new ManualClock();
    const hosts = Array.from(
      {length: entry.hosts},
      () =>
        new FleetRetryBudget({
          clock,
          ratio: RATIO,
          slack: SLACK,
          windowMilliseconds: WINDOW_MILLISECONDS,
          share: () => 1 / entry.hosts,
        }),
    );
    const repeated: number[] = [];
    const requested: number[] = [];
    const pause = 1000 / entry.ratePerSecond;
    for (let elapsed = 0; elapsed < 30_000; elapsed += pause) {
      clock.advance(pause);
      for (const host of hosts) {
        host.recordRequest('plain');
        requested.push(clock.monotonicMilliseconds());
        if (host.tryConsume('plain'))
          repeated.push(clock.monotonicMilliseconds());
      }
    }
    const within = (times: readonly number[], from: number) =>
      times.filter(at => at >= from && at < from + WINDOW_MILLISECONDS).length;
    for (const from of repeated) {
      const allowed = RATIO * within(requested, from) + SLACK;
      expect(within(repeated, from)).toBeLessThanOrEqual(allowed);
    }
    expect(repeated.length).toBeGreaterThan(0);
  });
});
