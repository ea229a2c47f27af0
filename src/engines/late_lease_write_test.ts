import {afterEach, describe, expect, test} from 'vitest';
import {LeaseFleet} from '../testing/lease_fleet.ts';

const HOSTS = ['host-a', 'host-b', 'host-c'] as const;

/** Age of the copy, so that versions of the lost rows are given out again later. */
const LOST_MILLISECONDS = 60_000;

/** Time after which a host may continue its term without a handover delay. */
const SETTLED_MILLISECONDS = 6000;

/** Time within which a host orders again after the last disruption. */
const RECOVERY_MILLISECONDS = 15_000;

interface Case {
  name: string;
  /** Lets the first host send a transaction that is carried out late. */
  write: (fleet: LeaseFleet) => Promise<void>;
  /** Host that reads the row meanwhile, and gets no messages of the holder. */
  reader: string;
}

async function renew(fleet: LeaseFleet): Promise<void> {
  await fleet.runUntil(() => fleet.lateVersions.length > 0, 1000);
  fleet.kill('host-a');
}

const CASES: Case[] = [
  {
    name: 'a release',
    write: fleet => fleet.stop('host-a'),
    reader: 'host-c',
  },
  {name: 'a renewal', write: renew, reader: 'host-c'},
  {
    name: 'a renewal of a host that has started again',
    write: renew,
    reader: 'host-a',
  },
];

let fleet: LeaseFleet;

afterEach(() => fleet.close());

describe.each([{ordersBySettledEngine: false}, {ordersBySettledEngine: true}])(
  'in a restored store, and with orders by engine $ordersBySettledEngine',
  options => {
    // Guards against turns of two holders that are too short: a transaction of the era
    // before replaces the row of the current holder, since its version was given out
    // again, and the next holder believes what that row says.
    test.each(CASES)(
      '$name that is carried out late does not end the turn of a later holder',
      async ({write, reader}) => {
        fleet = new LeaseFleet(HOSTS, options);
        fleet.start('host-a');
        await fleet.run(2000);
        const copy = fleet.store.copy();
        await fleet.run(LOST_MILLISECONDS);
        fleet.delayed.add('host-a');
        await write(fleet);
        const [expectedVersion = 0] = fleet.lateVersions;
        fleet.delayed.clear();
        fleet.store.restore(copy);
        fleet.start('host-b');
        await fleet.runUntil(() => fleet.holder === 'host-b', 20_000);
        fleet.separated.add('host-b');
        fleet.start(reader);
        await fleet.run(SETTLED_MILLISECONDS);
        // The next renewal gets the version for which the late transaction waits.
        fleet.store.version = expectedVersion - 1;
        const isRenewed = () => fleet.store.version === expectedVersion;
        await fleet.runUntil(isRenewed, 1000);
        fleet.carryOutLateChanges();
        await fleet.run(RECOVERY_MILLISECONDS);
        const [first, last] = [fleet.orders.at(0), fleet.orders.at(-1)];
        expect(first?.hostId).toBe('host-a');
        expect(last?.hostId).not.toBe('host-b');
        expect(fleet.violations).toEqual([]);
      },
    );
  },
);
