import {describe, expect, test} from 'vitest';
import type {TeamConfiguration} from '../deployment/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {FleetRateLimiter} from './mod.ts';

const TEAM: TeamConfiguration = {
  name: 'workshop',
  keys: [],
  priority: undefined,
  unit: 'tokens',
  defaultTokens: 10,
  ratePerSecond: 1000,
  burst: 2000,
};

interface Case {
  name: string;
  hosts: number;
  /** Whether the hosts receive each other's reports. */
  connected: boolean;
  /** Whether all hosts restart in the middle of the run. */
  restarts: boolean;
}

const CASES: Case[] = [
  {name: 'one host', hosts: 1, connected: true, restarts: false},
  {name: 'eight hosts', hosts: 8, connected: true, restarts: false},
  {
    name: 'eight partitioned hosts',
    hosts: 8,
    connected: false,
    restarts: false,
  },
  {name: 'eight hosts that restart', hosts: 8, connected: true, restarts: true},
];

describe('FleetRateLimiter', () => {
  // One team sends many times its rate through all hosts at once. Guards against
  // the platform's QUOTA violation: more than (rate x window + burst) x 1.1
  // tokens in a window.
  test.each(CASES)('$name stay within the rate', entry => {
    const clock = new ManualClock();
    const create = (startsFull: boolean) =>
      new FleetRateLimiter({
        clock,
        rateShare: () => (entry.connected ? 1 : 1 / entry.hosts),
        startsFull,
      });
    let limiters = Array.from({length: entry.hosts}, () => create(true));
    for (const limiter of limiters) limiter.configure([TEAM]);
    const spent: {at: number; tokens: number}[] = [];
    for (let step = 0; step < 200; step++) {
      clock.advance(100);
      if (entry.restarts && step === 100) {
        limiters = limiters.map(() => create(false));
        for (const limiter of limiters) limiter.configure([TEAM]);
      }
      for (const limiter of limiters) {
        if (limiter.take(TEAM, 50) > 0) continue;
        spent.push({at: clock.monotonicMilliseconds(), tokens: 50});
      }
      if (entry.connected) exchange(limiters);
    }
    const bound = (8 * TEAM.ratePerSecond + TEAM.burst) * 1.1 + 8 * 50;
    // Each partitioned host starts with a full burst of its own. The platform
    // allows a slack of 17,000 tokens for this.
    const slack = entry.connected ? 0 : 17_000;
    for (const {at} of spent) {
      const inWindow = spent
        .filter(other => other.at >= at && other.at < at + 8000)
        .reduce((sum, other) => sum + other.tokens, 0);
      expect(inWindow).toBeLessThanOrEqual(bound + slack);
    }
  });

  // Requests may enter at standby hosts, whose spending only their active host
  // hears of. Guards against spending that is forgotten or debited twice on the way.
  test('active hosts and their standby hosts stay within the rate and use it', () => {
    const clock = new ManualClock();
    const create = () => {
      const limiter = new FleetRateLimiter({
        clock,
        rateShare: () => 1,
        startsFull: true,
      });
      limiter.configure([TEAM]);
      return limiter;
    };
    const active = Array.from({length: 4}, create);
    const standby = Array.from({length: 12}, create);
    let spent = 0;
    for (let step = 0; step < 600; step++) {
      clock.advance(100);
      for (const limiter of [...active, ...standby]) {
        if (limiter.take(TEAM, 50) === 0) spent += 50;
      }
      if (step % 10 === 0) {
        standby.forEach((limiter, index) =>
          active[index % 4]?.receiveFromStandby(
            `standby-${index}`,
            limiter.spending(),
          ),
        );
      }
      exchange(active);
      if (step % 10 === 5) {
        standby.forEach((limiter, index) =>
          limiter.receiveDigest(
            `host-${index % 4}`,
            active[index % 4]?.fleetSpending() ?? [],
          ),
        );
      }
    }
    const allowed = 60 * TEAM.ratePerSecond + TEAM.burst;
    expect(spent).toBeLessThanOrEqual(allowed * 1.1 + 16 * 50);
    expect(spent).toBeGreaterThanOrEqual(allowed * 0.9);
  });

  test('a full bucket admits a request that costs more than the burst', () => {
    const clock = new ManualClock();
    const limiter = new FleetRateLimiter({
      clock,
      rateShare: () => 1,
      startsFull: true,
    });
    expect(limiter.take(TEAM, 2500)).toBe(0);
    expect(limiter.take(TEAM, 100)).toBeGreaterThan(0);
  });

  // Guards against a team above its rate that gets less than it, since requests which
  // no engine ran were charged; and against refunds that take it above its rate.
  test.each([
    {name: 'charged', refundsUnserved: false, delay: 0, expected: 0.5},
    {name: 'refunded', refundsUnserved: true, delay: 0, expected: 1},
    {
      name: 'refunded too late',
      refundsUnserved: true,
      delay: 600,
      expected: 0.5,
    },
  ])('requests that did not run are $name', entry => {
    const clock = new ManualClock();
    const limiters = Array.from({length: 8}, () => {
      const limiter = new FleetRateLimiter({
        clock,
        rateShare: () => 1,
        startsFull: true,
        refundsUnserved: entry.refundsUnserved,
      });
      limiter.configure([TEAM]);
      return limiter;
    });
    const seconds = 20;
    let ran = 0;
    let taken = 0;
    for (let step = 0; step < seconds * 10; step++) {
      clock.advance(100);
      for (const limiter of limiters) {
        if (limiter.take(TEAM, 50) > 0) continue;
        // Every second request finds no engine.
        if (taken++ % 2 === 0) ran += 50;
        else
          limiter.refund(TEAM, 50, clock.monotonicMilliseconds() - entry.delay);
      }
      for (const [from, limiter] of limiters.entries()) {
        for (const [to, other] of limiters.entries())
          if (from !== to) other.receive(`host-${from}`, limiter.spending());
      }
    }
    const allowed = TEAM.ratePerSecond * seconds + TEAM.burst;
    expect(ran / allowed).toBeLessThanOrEqual(1.1);
    expect(ran / allowed).toBeGreaterThan(entry.expected * 0.85);
    if (entry.expected < 1) expect(ran / allowed).toBeLessThan(0.65);
  });
});

function exchange(limiters: readonly FleetRateLimiter[]): void {
  limiters.forEach((receiver, to) => {
    limiters.forEach((sender, from) => {
      if (from !== to) receiver.receive(`host-${from}`, sender.spending());
    });
  });
}
