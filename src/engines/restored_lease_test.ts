import {afterEach, describe, expect, test} from 'vitest';
import {LeaseFleet} from '../testing/lease_fleet.ts';

const HOSTS = ['host-a', 'host-b', 'host-c'] as const;

interface Case {
  name: string;
  awayMilliseconds: number;
  /** What happens between the copy and the loss of the store. */
  inLostSeconds?: (fleet: LeaseFleet) => Promise<void>;
  /** What happens when the store is back. */
  whenBack?: (fleet: LeaseFleet) => void;
  returns?: number;
}

/** The lease goes from the first host to the second one. */
async function handOver(fleet: LeaseFleet): Promise<void> {
  fleet.cut.add('host-a');
  await fleet.run(7000);
  fleet.cut.delete('host-a');
}

const CASES: Case[] = [
  {name: 'the holder goes on', awayMilliseconds: 300},
  {name: 'the holder gives up meanwhile', awayMilliseconds: 2500},
  {
    name: 'the store has lost a hand-over',
    awayMilliseconds: 300,
    inLostSeconds: handOver,
  },
  {
    name: 'the store has lost a hand-over, and the holder gives up',
    awayMilliseconds: 2500,
    inLostSeconds: handOver,
  },
  {
    name: 'the store has lost a hand-over, and the holder is cut off',
    awayMilliseconds: 300,
    inLostSeconds: handOver,
    whenBack: fleet => fleet.cut.add('host-b'),
  },
  {name: 'it comes back twice', awayMilliseconds: 300, returns: 2},
];

let fleet: LeaseFleet;

afterEach(() => fleet.close());

describe('a lease in a store that comes back from an older copy', () => {
  // Guards against two holders with one fencing token, and against holders that take
  // turns too soon, since the store has lost the row of the later one.
  test.each(CASES)('has one holder at a time when $name', async entry => {
    const {awayMilliseconds, inLostSeconds, whenBack, returns = 1} = entry;
    fleet = new LeaseFleet(HOSTS);
    const {store} = fleet;
    fleet.idle.add('host-b').add('host-c');
    for (const hostId of HOSTS) fleet.start(hostId);
    await fleet.run(3000);
    fleet.idle.clear();
    await fleet.run(1000);
    for (let time = 0; time < returns; time++) {
      const copy = store.copy();
      await fleet.run(1000);
      await inLostSeconds?.(fleet);
      store.isDown = true;
      await fleet.run(awayMilliseconds);
      store.isDown = false;
      store.restore(copy);
      whenBack?.(fleet);
      await fleet.run(15_000);
      const now = fleet.clock.monotonicMilliseconds();
      const lastOrderAt = fleet.orders.at(-1)?.at ?? Number.NEGATIVE_INFINITY;
      expect(now - lastOrderAt).toBeLessThan(1000);
      expect(fleet.violations).toEqual([]);
    }
  });
});
