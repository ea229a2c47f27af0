import {describe, expect, it} from 'vitest';
import {rendezvousOrder} from './rendezvous_order.ts';

const HOSTS = Array.from({length: 8}, (_, index) => `host-${index}`);
const KEYS = Array.from({length: 2000}, (_, index) => `team:${index}`);

describe('rendezvousOrder', () => {
  it('does not depend on the order of the candidates', () => {
    for (const key of KEYS.slice(0, 50)) {
      const reversed = rendezvousOrder(key, [...HOSTS].reverse());
      expect(reversed).toEqual(rendezvousOrder(key, HOSTS));
    }
  });

  it('reassigns only the keys of a removed candidate', () => {
    const left = HOSTS.slice(1);
    for (const key of KEYS) {
      const before = rendezvousOrder(key, HOSTS);
      const expected = before.filter(host => host !== HOSTS[0]);
      expect(rendezvousOrder(key, left)).toEqual(expected);
    }
  });

  it('distributes keys evenly over candidates with similar names', () => {
    const counts = new Map(HOSTS.map(host => [host, 0]));
    for (const key of KEYS) {
      const first = rendezvousOrder(key, HOSTS)[0]!;
      counts.set(first, counts.get(first)! + 1);
    }
    // The expected count is 250; 74 is five standard deviations.
    for (const count of counts.values()) {
      expect(Math.abs(count - 250)).toBeLessThan(74);
    }
  });
});
