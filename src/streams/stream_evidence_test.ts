import {describe, expect, test} from 'vitest';
import {ManualClock} from '../testing/manual_clock.ts';
import {OriginFleet, type OriginHost} from '../testing/origin_fleet.ts';
import type {StoreAccess} from '../testing/origin_rows.ts';

/** Streams of each version that begin at the host that is lost. */
const STREAMS = 6;

/** Time after which each stream has begun or was refused. */
const LONGEST_RECORD_MILLISECONDS = 2500;

/** The same while the store serves all hosts. */
const RECORD_MILLISECONDS = 200;

/** A release while single hosts fall out of step, and the loss of one of them. */
interface Release {
  name: string;
  hosts: number;
  /** How the store treats the host that is lost, from before the release. */
  access: StoreAccess;
  /** Whether that host has no link to other hosts. */
  isIsolated?: boolean;
  /** Whether the host that takes the streams up is out of step during the release. */
  askers?: 'in step' | 'stood still' | 'cut off';
  /** Versions whose streams must go on. */
  goesOn: readonly string[];
}

const RELEASES: Release[] = [
  ...[2, 3, 8].flatMap(hosts =>
    (['turned_away', 'silent', 'slow', 'answers_lost'] as const).map(
      (access): Release => ({
        name: `${access} with ${hosts} hosts`,
        ...{hosts, access, goesOn: ['v1', 'v2']},
      }),
    ),
  ),
  {
    name: 'served with 3 hosts',
    ...{hosts: 3, access: 'served', goesOn: ['v1', 'v2']},
  },
  {
    name: 'turned away and without a link to its peers',
    ...{hosts: 3, access: 'turned_away', isIsolated: true, goesOn: ['v1']},
  },
  {
    name: 'turned away while the hosts that are asked stood still',
    ...{hosts: 3, access: 'turned_away', askers: 'stood still'},
    goesOn: ['v1', 'v2'],
  },
  ...(['served', 'turned_away'] as const).map((access): Release => ({
    name: `${access} while a host that is asked was cut off`,
    ...{hosts: 4, access, askers: 'cut off', goesOn: ['v1', 'v2']},
  })),
  {
    name: 'served while the hosts that are asked stood still',
    ...{hosts: 3, access: 'served', askers: 'stood still'},
    goesOn: ['v1', 'v2'],
  },
];

/** Lets streams begin at a host, whichever endpoint is chosen, and waits for them. */
async function beginStreams(
  fleet: OriginFleet,
  host: OriginHost,
  versions: readonly string[],
  name: string,
  milliseconds = LONGEST_RECORD_MILLISECONDS,
): Promise<void> {
  for (let index = 0; index < STREAMS; index++) {
    for (const version of versions)
      void host.begin(`${name} ${version} ${index}`, version);
    await advance(fleet, 50);
  }
  await advance(fleet, milliseconds);
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
  // that began them denies theirs, and against refusals of those that could go on.
  test.each(RELEASES)(
    '$name keep their version, and go on',
    async ({hosts, access, isIsolated, askers, goesOn}) => {
      const fleet = startFleet(hosts, 'v1');
      const [lost, ...others] = [...fleet.hosts.values()];
      for (const host of fleet.hosts.values())
        await beginStreams(
          fleet,
          host,
          ['v1'],
          host.hostId,
          RECORD_MILLISECONDS,
        );
      lost!.access = access;
      if (isIsolated === true) fleet.isolated.add(lost!.hostId);
      const outOfStep = others.at(-1)!;
      if (askers === 'stood still') outOfStep.clock.pause();
      if (askers === 'cut off') {
        fleet.isolated.add(outOfStep.hostId);
        outOfStep.access = 'silent';
      }
      for (const host of fleet.hosts.values()) {
        if (askers !== 'cut off' || host !== outOfStep) host.see('v1', 'v2');
      }
      await beginStreams(fleet, others[0]!, ['v1', 'v2'], 'elsewhere');
      await beginStreams(fleet, lost!, ['v1', 'v2'], 'lost');
      fleet.remove(lost!.hostId);
      outOfStep.clock.resume();
      outOfStep.access = 'served';
      fleet.isolated.delete(outOfStep.hostId);
      for (const asked of [others[0]!, others.at(-1)!]) {
        for (const [key, version] of fleet.forwarded) {
          const found = await find(fleet, asked, key);
          const expected = goesOn.includes(version)
            ? [version]
            : [version, 'unknown'];
          expect(expected).toContain(found);
        }
      }
      const begun = [...fleet.forwarded].filter(([key]) =>
        key.startsWith('lost v1'),
      );
      expect(begun.length).toBe(STREAMS);
    },
  );
});

/** A host whose process ends before a release, and the loss of another one after it. */
interface Restart {
  name: string;
  /** How its process ends; one that is gone is not started again. */
  ends: 'stopped' | 'killed' | 'gone';
  /** Hosts that end in turn. */
  count: number;
  /** Versions in service at that time. */
  versions: readonly string[];
  /** Time from then to the end of the release. */
  milliseconds: number;
}

const BEFORE_RELEASE = ['v1'];
const IN_RELEASE = ['v1', 'v2'];

const RESTARTS: Restart[] = [
  ...[1, 2].flatMap(count =>
    (['stopped', 'killed', 'gone'] as const).map((ends): Restart => ({
      name: `${count} ${ends} during a release`,
      ...{ends, count, versions: IN_RELEASE, milliseconds: 2000},
    })),
  ),
  {
    name: '1 stopped before a release',
    ends: 'stopped',
    ...{count: 1, versions: BEFORE_RELEASE, milliseconds: 2000},
  },
  {
    name: '1 killed, and the streams that it may have begun have ended',
    ends: 'killed',
    ...{count: 1, versions: BEFORE_RELEASE, milliseconds: 25_000},
  },
  {
    name: '1 gone, and the streams that it may have begun have ended',
    ends: 'gone',
    ...{count: 1, versions: BEFORE_RELEASE, milliseconds: 100_000},
  },
];

describe('streams of a lost host, after other hosts were', () => {
  // Guards against refusals of streams that could go on, because a page that outlives
  // its process says more than that process can still answer for.
  test.each(RESTARTS)(
    '$name, go on',
    async ({ends, count, versions, milliseconds}) => {
      const fleet = startFleet(4, ...versions);
      for (const host of fleet.hosts.values())
        await beginStreams(fleet, host, versions, host.hostId);
      for (const hostId of ['host-4', 'host-3'].slice(0, count)) {
        const stopped = ends === 'stopped' ? fleet.stop(hostId) : undefined;
        await advance(fleet, 1000);
        await stopped;
        if (ends === 'gone') {
          fleet.endForGood(hostId);
          continue;
        }
        const host = fleet.start(hostId, ...versions);
        await beginStreams(fleet, host, versions, `next of ${hostId}`);
      }
      for (const host of fleet.hosts.values()) host.see('v1', 'v2');
      await advance(fleet, milliseconds);
      for (const host of fleet.hosts.values()) host.see('v2');
      await advance(fleet, 1000);
      const [lost, asked] = [...fleet.hosts.values()];
      for (const host of fleet.hosts.values())
        await beginStreams(fleet, host, ['v2'], `late ${host.hostId}`);
      fleet.remove(lost!.hostId);
      const found = [];
      for (const [key, version] of fleet.forwarded) {
        if (!key.startsWith('late')) continue;
        found.push([version, await find(fleet, asked!, key)]);
      }
      expect(found).toEqual(found.map(() => ['v2', 'v2']));
      expect(found.length).toBe(STREAMS * (ends === 'gone' ? 4 - count : 4));
    },
  );
});
