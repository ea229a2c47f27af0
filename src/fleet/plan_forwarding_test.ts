import {describe, expect, test} from 'vitest';
import {planForwarding} from './mod.ts';

interface Case {
  name: string;
  /** Number of active hosts, which are all connected, and standby hosts of each. */
  active: number;
  standby: number;
  /** Whether every host takes each of its peers for a standby host. */
  areRolesConfused: boolean;
  origin: 'active' | 'standby';
  maximumMessages: number;
}

const CASES: Case[] = [
  {
    name: 'from an active host',
    active: 16,
    standby: 20,
    areRolesConfused: false,
    origin: 'active',
    maximumMessages: 16 * 21,
  },
  {
    name: 'from a standby host',
    active: 16,
    standby: 20,
    areRolesConfused: false,
    origin: 'standby',
    maximumMessages: 16 * 21,
  },
  {
    name: 'while roles change',
    active: 16,
    standby: 2,
    areRolesConfused: true,
    origin: 'active',
    maximumMessages: 16 ** 3 + 16 ** 2 * 2,
  },
];

describe('planForwarding', () => {
  // In a played day, hosts that had just changed their roles sent each other the
  // same announcement until no host answered any more.
  test.each(CASES)('an announcement $name reaches all hosts', entry => {
    const peersOf = new Map<string, string[]>();
    const standbyOf = new Map<string, string[]>();
    const active = Array.from({length: entry.active}, (_u, i) => `active-${i}`);
    for (const host of active) {
      const standby = Array.from(
        {length: entry.standby},
        (_u, index) => `${host}-standby-${index}`,
      );
      const peers = [...active.filter(other => other !== host), ...standby];
      peersOf.set(host, peers);
      standbyOf.set(host, entry.areRolesConfused ? peers : standby);
      for (const name of standby) {
        peersOf.set(name, [host]);
        standbyOf.set(name, []);
      }
    }
    const origin =
      entry.origin === 'active' ? 'active-3' : 'active-3-standby-1';
    const reached = new Set([origin]);
    const queue = (peersOf.get(origin) ?? []).map(to => ({
      from: origin,
      to,
      hops: 0,
    }));
    let messages = 0;
    for (;;) {
      const message = queue.shift();
      if (message === undefined) break;
      messages++;
      reached.add(message.to);
      const forwarding = planForwarding({
        isActive: active.includes(message.to),
        hops: message.hops,
        from: message.from,
        standbyHosts: standbyOf.get(message.to) ?? [],
        peers: peersOf.get(message.to) ?? [],
      });
      for (const to of forwarding?.to ?? []) {
        queue.push({from: message.to, to, hops: forwarding?.hops ?? 0});
      }
      expect(messages).toBeLessThanOrEqual(entry.maximumMessages);
    }
    expect(reached.size).toBe(peersOf.size);
  });
});
