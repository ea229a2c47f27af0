import {expect, test} from 'vitest';
import {createManagedPool} from '../testing/managed_pool.ts';
import type {OrderOutcome} from './mod.ts';

// Guards against a pool without a manager: a stopped manager still announced its
// pool, and the other hosts put off their attempts to acquire the lease.
test.each<{outcome: OrderOutcome}>([
  {outcome: 'accepted'},
  {outcome: 'conflict'},
  {outcome: 'unknown'},
])(
  'a stopped manager is silent when its last order ends as $outcome',
  async ({outcome}) => {
    const {clock, lease, manager, orders, announcements} = createManagedPool({
      engines: [{id: 'engine-1'}],
    });
    void lease.run();
    void manager.run();
    await clock.advanceAsync(2000);
    expect(orders().length).toBe(1);
    manager.stop();
    await lease.release();
    const announced = announcements.length;
    expect(announced).toBeGreaterThan(0);
    await clock.advanceAsync(500);
    orders()[0]?.answer(outcome);
    await clock.advanceAsync(10_000);
    expect(announcements.length).toBe(announced);
    expect(manager.currentAnnouncement()).toBeUndefined();
    expect(orders().length).toBe(1);
  },
);
