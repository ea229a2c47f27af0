import {afterEach, describe, expect, test} from 'vitest';
import {LeaseFleet} from '../testing/lease_fleet.ts';

const HOSTS = ['host-a', 'host-b', 'host-c'] as const;

/** Time within which a host orders again after the last disruption. */
const RECOVERY_MILLISECONDS = 15_000;

interface Case {
  name: string;
  disrupt: (fleet: LeaseFleet) => Promise<void>;
}

/** The store is away for a moment and comes back from a copy. */
async function restore(fleet: LeaseFleet, copy = fleet.store.copy()) {
  fleet.store.isDown = true;
  await fleet.run(500);
  fleet.store.restore(copy);
  fleet.store.isDown = false;
}

/** The first host hands the lease over, and the second one orders. */
async function handOver(fleet: LeaseFleet): Promise<void> {
  await fleet.stop('host-a');
  await fleet.runUntil(() => fleet.holder === 'host-b', 10_000);
  await fleet.run(100);
}

/** Lets all hosts lose power and starts some again, one after the other. */
async function restartAll(fleet: LeaseFleet, hosts: readonly string[]) {
  fleet.close();
  await fleet.run(2000);
  for (const hostId of hosts) {
    fleet.start(hostId);
    await fleet.run(300);
  }
}

const CASES: Case[] = [
  {
    name: 'a handover, and the former holder has started again',
    disrupt: async fleet => {
      const copy = fleet.store.copy();
      await handOver(fleet);
      fleet.kill('host-b');
      await restore(fleet, copy);
      fleet.start('host-a');
      await fleet.run(3000);
      fleet.start('host-b');
    },
  },
  {
    name: 'a handover, and all hosts lose power',
    disrupt: async fleet => {
      const copy = fleet.store.copy();
      await handOver(fleet);
      fleet.close();
      await restore(fleet, copy);
      await restartAll(fleet, ['host-c', 'host-b', 'host-a']);
    },
  },
  {
    name: 'several handovers, so that the lost epochs are higher',
    disrupt: async fleet => {
      const copy = fleet.store.copy();
      await handOver(fleet);
      fleet.start('host-a');
      await fleet.stop('host-b');
      await fleet.runUntil(() => fleet.holder !== undefined, 10_000);
      await fleet.run(100);
      fleet.close();
      await restore(fleet, copy);
      await restartAll(fleet, ['host-c', 'host-a']);
    },
  },
  {
    name: 'the first row of the lease',
    disrupt: async fleet => {
      fleet.close();
      await restore(fleet, {rows: new Map(), version: 0});
      await restartAll(fleet, ['host-b', 'host-a']);
    },
  },
  {
    name: 'a handover, twice',
    disrupt: async fleet => {
      const copy = fleet.store.copy();
      await handOver(fleet);
      fleet.close();
      await restore(fleet, copy);
      await restartAll(fleet, ['host-c']);
      await fleet.runUntil(() => fleet.holder === 'host-c', 10_000);
      await fleet.run(100);
      fleet.close();
      await restore(fleet, copy);
      await restartAll(fleet, ['host-b', 'host-a']);
    },
  },
  {
    name: 'an acquisition that is carried out when it is back',
    disrupt: async fleet => {
      await handOver(fleet);
      fleet.start('host-a');
      await fleet.run(500);
      const copy = fleet.store.copy();
      fleet.delayed.add('host-a').add('host-c');
      fleet.kill('host-b');
      await fleet.runUntil(() => fleet.lateVersions.length > 0, 10_000);
      await restore(fleet, copy);
      fleet.carryOutLateChanges();
      fleet.delayed.clear();
      await restartAll(fleet, ['host-b', 'host-c']);
    },
  },
  {
    name: 'a renewal that replaces the row of a later holder',
    disrupt: async fleet => {
      const copy = fleet.store.copy();
      await fleet.run(1500);
      fleet.delayed.add('host-a');
      await fleet.runUntil(() => fleet.lateVersions.length > 0, 10_000);
      const [expectedVersion = 0] = fleet.lateVersions;
      fleet.delayed.clear();
      fleet.close();
      await restore(fleet, copy);
      fleet.start('host-b');
      await fleet.runUntil(() => fleet.holder === 'host-b', 20_000);
      // The next renewal gets the version for which the late one waits.
      fleet.store.version = expectedVersion - 1;
      const isRenewed = () => fleet.store.version === expectedVersion;
      await fleet.runUntil(isRenewed, 1000);
      fleet.kill('host-b');
      fleet.carryOutLateChanges();
      await restartAll(fleet, ['host-c']);
    },
  },
  {
    name: 'a handover, and then stops naming its era',
    disrupt: async fleet => {
      const copy = fleet.store.copy();
      await handOver(fleet);
      fleet.close();
      await restore(fleet, copy);
      await restartAll(fleet, ['host-c']);
      await fleet.runUntil(() => fleet.holder === 'host-c', 10_000);
      await fleet.run(1000);
      fleet.store.era = 0;
      await restartAll(fleet, ['host-b', 'host-a']);
    },
  },
];

let fleet: LeaseFleet;

afterEach(() => fleet.close());

describe('a store that comes back from an older copy without', () => {
  // Guards against a fencing token that two hosts send, and against one below those
  // that engines have seen: the highest epoch is in no row and no process any more.
  test.each(CASES)('$name has one host for each token', async ({disrupt}) => {
    fleet = new LeaseFleet(HOSTS);
    fleet.start('host-a');
    await fleet.run(3000);
    fleet.start('host-b');
    await fleet.run(300);
    fleet.start('host-c');
    await fleet.run(1000);
    expect(fleet.holder).toBe('host-a');
    await disrupt(fleet);
    const disruptedAt = fleet.clock.monotonicMilliseconds();
    await fleet.run(RECOVERY_MILLISECONDS);
    expect(fleet.orders.at(-1)?.at).toBeGreaterThan(disruptedAt);
    expect(fleet.violations).toEqual([]);
  });
});
