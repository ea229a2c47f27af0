import {describe, expect, test} from 'vitest';
import {ManualClock} from '../testing/manual_clock.ts';
import {OriginFleet, type OriginHost} from '../testing/origin_fleet.ts';
import type {StoreAccess} from '../testing/origin_rows.ts';

/** Streams of each version that begin at the host that is lost. */
const STREAMS = 6;

/** A release while single hosts fall out of step, and the loss of one of them. */
interface Release {
  name: string;
  hosts: number;
  /** How the store treats the host that is lost, from before the release. */
  access: StoreAccess;
  /** Whether that host has no link to other hosts. */
  isIsolated?: boolean;
  /** Whether the hosts that take the streams up learn of the release, or stand still. */
  askers?: 'in step' | 'stood still';
}

const RELEASES: Release[] = [
  ...[2, 3, 8].flatMap(hosts =>
    (['turned_away', 'silent', 'slow', 'answers_lost'] as const).map(
      (access): Release => ({
        name: `${access} with ${hosts} hosts`,
        ...{hosts, access},
      }),
    ),
  ),
  {
    name: 'served with 3 hosts',
    ...{hosts: 3, access: 'served'},
  },
  {
    name: 'turned away and without a link to its peers',
    ...{hosts: 3, access: 'turned_away', isIsolated: true},
  },
  {
    name: 'turned away while the hosts that are asked stood still',
    ...{hosts: 3, access: 'turned_away', askers: 'stood still'},
  },
  {
    name: 'served while the hosts that are asked stood still',
    ...{hosts: 3, access: 'served', askers: 'stood still'},
  },
];

/** Lets streams begin at a host, whichever endpoint is chosen, and waits for them. */
async function beginStreams(
  fleet: OriginFleet,
  host: OriginHost,
  versions: readonly string[],
  name: string,
): Promise<void> {
  for (let index = 0; index < STREAMS; index++) {
    for (const version of versions)
      void host.begin(`${name} ${version} ${index}`, version);
    await advance(fleet, 50);
  }
  await advance(fleet, 1500);
}

async function advance(fleet: OriginFleet, milliseconds: number) {
  await (fleet.clock as ManualClock).advanceAsync(milliseconds);
}

/** Asks a host for a stream; the store may take a while. */
async function find(fleet: OriginFleet, host: OriginHost, key: string) {
  const found = host.find(key);
  await advance(fleet, 100);
  return found;
}

function startFleet(hosts: number, ...versions: string[]): OriginFleet {
  const fleet = new OriginFleet(new ManualClock());
  for (let index = 1; index <= hosts; index++)
    fleet.start(`host-${index}`, ...versions);
  return fleet;
}

describe('streams of a lost host that was', () => {
  // Guards against streams that go on at another version because the page of the host
  // that began them denies theirs.
  test.each(RELEASES)(
    '$name keep their version',
    async ({hosts, access, isIsolated, askers}) => {
      const fleet = startFleet(hosts, 'v1');
      const [lost, ...others] = [...fleet.hosts.values()];
      for (const host of fleet.hosts.values())
        await beginStreams(fleet, host, ['v1'], host.hostId);
      lost!.access = access;
      if (isIsolated === true) fleet.isolated.add(lost!.hostId);
      if (askers === 'stood still') others.at(-1)!.clock.pause();
      for (const host of fleet.hosts.values()) host.see('v1', 'v2');
      await beginStreams(fleet, others[0]!, ['v1', 'v2'], 'elsewhere');
      await beginStreams(fleet, lost!, ['v1', 'v2'], 'lost');
      fleet.remove(lost!.hostId);
      for (const host of others) host.clock.resume();
      for (const asked of [others[0]!, others.at(-1)!]) {
        for (const [key, version] of fleet.forwarded) {
          const found = await find(fleet, asked, key);
          expect([version, 'unknown']).toContain(found);
        }
      }
      const begun = [...fleet.forwarded].filter(([key]) =>
        key.startsWith('lost v1'),
      );
      expect(begun.length).toBe(STREAMS);
    },
  );
});
