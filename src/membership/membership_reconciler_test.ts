import {describe, expect, it} from 'vitest';
import {
  SimulatedFleet,
  type SimulatedHost,
} from '../testing/simulated_fleet.ts';

const HOSTS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const SCOPE = 'team:gebre';

/**
 * Records each change of the member list made before the previous one is in
 * effect.
 */
function recordOverlaps(): {
  adjust: (host: SimulatedHost) => void;
  readonly overlaps: number[];
} {
  const overlaps: number[] = [];
  let proved = 0;
  let latest = 0;
  return {
    overlaps,
    adjust: ({membership, changeLog}) => {
      membership.effect.onProgress(version => {
        proved = Math.max(proved, version);
      });
      changeLog.subscribe(({memberVersion}) => {
        if (memberVersion <= latest) return;
        if (latest > proved) overlaps.push(memberVersion);
        latest = memberVersion;
      });
    },
  };
}

function membersSeenBy(fleet: SimulatedFleet, hostId: string): string[] {
  const {members} = fleet.hosts.get(hostId)!.changeLog.authority;
  return [...members.keys()].sort();
}

describe('MembershipReconciler', () => {
  it('adds hosts that start simultaneously one at a time', async () => {
    const {adjust, overlaps} = recordOverlaps();
    const fleet = new SimulatedFleet({adjust});
    for (const hostId of HOSTS) fleet.start(hostId);
    await fleet.until(() => membersSeenBy(fleet, 'a').length === HOSTS.length);
    expect(overlaps).toEqual([]);
  });

  it('gives current member addresses to a listener registered earlier', async () => {
    const seen = new Map<string, ReadonlySet<string>>();
    const fleet = new SimulatedFleet({
      // This listener is registered before those of the membership components.
      adjust: ({hostId, changeLog, membership}) => {
        changeLog.subscribe(() => {
          seen.set(hostId, membership.heartbeats.peerAddresses());
        });
      },
    });
    await fleet.startAll(['a', 'b']);
    expect([...seen.get('a')!]).toEqual(['ws://b:7200']);
    expect([...seen.get('b')!]).toEqual(['ws://a:7200']);
  });

  it('adds no host while the previous change is not in effect', async () => {
    const fleet = new SimulatedFleet();
    await fleet.startAll(['a', 'b', 'c']);
    // Without b and c, there is no quorum to show that adding c is in effect.
    fleet.network.isolate('a', true, ['b', 'c']);
    fleet.cutFromTable.add('b').add('c');
    fleet.start('d');
    fleet.start('e');
    fleet.network.isolate('d', true, ['b', 'c']);
    fleet.network.isolate('e', true, ['b', 'c']);
    await fleet.clock.advanceAsync(30_000);
    expect(membersSeenBy(fleet, 'a')).toHaveLength(3);
    for (const hostId of ['a', 'd', 'e']) {
      fleet.network.isolate(hostId, false, ['b', 'c']);
    }
    await fleet.until(() => membersSeenBy(fleet, 'b').length === 5);
  });

  it.each([
    {name: 'reported as gone', listed: true, refused: true},
    {name: 'reported as gone and silent', listed: true, refused: false},
    {
      name: 'that refuse connections for a minute',
      listed: false,
      refused: true,
    },
  ])('removes members $name until one host remains', async stopped => {
    const {adjust, overlaps} = recordOverlaps();
    const fleet = new SimulatedFleet({adjust, scopes: [SCOPE]});
    await fleet.startAll(HOSTS);
    if (!stopped.refused) fleet.network.isolate('a', true, HOSTS);
    for (const hostId of HOSTS.slice(1)) {
      fleet.kill(hostId);
      if (stopped.listed) fleet.hostList.set(hostId, 'gone');
    }
    await fleet.clock.advanceAsync(5000);
    expect(fleet.hosts.get('a')!.membership.view.isConfirmed()).toBe(true);
    await fleet.until(() => fleet.actingFor(SCOPE).length === 1);
    await fleet.until(() => membersSeenBy(fleet, 'a').length === 1, 120_000);
    expect(overlaps).toEqual([]);
    // A single member is a quorum by itself and does not need the table.
    fleet.table.down = true;
    await fleet.clock.advanceAsync(20_000);
    expect(fleet.actingFor(SCOPE)).toEqual(['a']);
  });

  it('keeps a member that restarts within a minute', async () => {
    const fleet = new SimulatedFleet();
    await fleet.startAll(HOSTS.slice(0, 3));
    fleet.kill('b');
    await fleet.clock.advanceAsync(30_000);
    fleet.start('b');
    await fleet.clock.advanceAsync(60_000);
    expect(membersSeenBy(fleet, 'a')).toEqual(['a', 'b', 'c']);
    const {authority} = fleet.hosts.get('a')!.changeLog;
    expect(authority.version).toBe(3);
  });
});
