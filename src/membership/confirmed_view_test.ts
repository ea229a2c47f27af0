import {describe, expect, it} from 'vitest';
import {SimulatedFleet} from '../testing/simulated_fleet.ts';

const HOSTS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const SCOPE = 'pool:labels';
const VIEW_TIMEOUT = 3000;

async function startFleet(hosts = HOSTS): Promise<SimulatedFleet> {
  const fleet = new SimulatedFleet({scopes: [SCOPE]});
  await fleet.startAll(hosts);
  await fleet.until(() => fleet.actingFor(SCOPE).length === 1);
  return fleet;
}

function confirmedHosts(fleet: SimulatedFleet): string[] {
  return [...fleet.hosts.values()]
    .filter(host => host.membership.view.isConfirmed())
    .map(host => host.hostId)
    .sort();
}

function restart(fleet: SimulatedFleet, hostIds: readonly string[]): void {
  for (const hostId of hostIds) fleet.kill(hostId);
  for (const hostId of hostIds) fleet.start(hostId);
}

/**
 * Faults in a fleet of 8 hosts, and the hosts whose view is confirmed
 * afterwards.
 */
const CASES: readonly {
  readonly name: string;
  readonly arrange: (fleet: SimulatedFleet) => Promise<void> | void;
  readonly confirmed: readonly string[];
}[] = [
  {
    name: 'only one host can reach the table',
    arrange: fleet => {
      for (const hostId of HOSTS.slice(1)) fleet.cutFromTable.add(hostId);
    },
    confirmed: HOSTS,
  },
  {
    name: 'one host cannot reach its peers but can reach the table',
    arrange: fleet => fleet.network.isolate('a', true, HOSTS),
    confirmed: HOSTS,
  },
  {
    name: 'one host cannot reach the table but can reach its peers',
    arrange: fleet => {
      fleet.cutFromTable.add('a');
    },
    confirmed: HOSTS,
  },
  {
    name: 'one host can reach neither the table nor its peers',
    arrange: fleet => {
      fleet.cutFromTable.add('a');
      fleet.network.isolate('a', true, HOSTS);
    },
    confirmed: HOSTS.slice(1),
  },
  {
    name: 'two hosts restart at once during an outage of the table',
    arrange: fleet => {
      fleet.table.down = true;
      restart(fleet, ['a', 'b']);
    },
    confirmed: HOSTS,
  },
  {
    name: 'two hosts are replaced by new ones during an outage of the table',
    arrange: fleet => {
      fleet.table.down = true;
      fleet.kill('a');
      fleet.kill('b');
      fleet.start('i');
      fleet.start('j');
    },
    confirmed: [...HOSTS.slice(2), 'i', 'j'],
  },
  {
    name: 'four of eight hosts restart during an outage of the table',
    arrange: fleet => {
      fleet.table.down = true;
      restart(fleet, HOSTS.slice(4));
    },
    confirmed: HOSTS,
  },
  {
    name: 'five of eight hosts restart during an outage of the table',
    arrange: fleet => {
      fleet.table.down = true;
      restart(fleet, HOSTS.slice(3));
    },
    confirmed: [],
  },
  {
    name: 'all hosts restart during an outage of the table',
    arrange: fleet => {
      fleet.table.down = true;
      restart(fleet, HOSTS);
    },
    confirmed: [],
  },
  {
    name: 'all hosts restart and the table becomes available again',
    arrange: async fleet => {
      fleet.table.down = true;
      restart(fleet, HOSTS);
      await fleet.clock.advanceAsync(20_000);
      fleet.table.down = false;
    },
    confirmed: HOSTS,
  },
  {
    name: 'all links are silent for 10 s during an outage of the table',
    arrange: async fleet => {
      fleet.table.down = true;
      for (const hostId of HOSTS) fleet.network.isolate(hostId, true, HOSTS);
      await fleet.clock.advanceAsync(10_000);
      expect(confirmedHosts(fleet)).toEqual([]);
      for (const hostId of HOSTS) fleet.network.isolate(hostId, false, HOSTS);
    },
    confirmed: HOSTS,
  },
  {
    name: 'reads of the table never complete',
    arrange: fleet => {
      fleet.tableDelayMilliseconds = 1e9;
    },
    confirmed: HOSTS,
  },
];

describe('ConfirmedView', () => {
  it.each(CASES)('when $name', async ({arrange, confirmed}) => {
    const fleet = await startFleet();
    await arrange(fleet);
    await fleet.clock.advanceAsync(15_000);
    expect(confirmedHosts(fleet)).toEqual(confirmed);
    // The result is stable.
    await fleet.clock.advanceAsync(7000);
    expect(confirmedHosts(fleet)).toEqual(confirmed);
  });

  it('is not confirmed by peers that report a later version', async () => {
    const fleet = await startFleet();
    fleet.table.down = true;
    const a = fleet.hosts.get('a')!;
    const report = (reporters: readonly string[]) => {
      for (const hostId of reporters) {
        a.channel.deliver(fleet.hosts.get(hostId)!.channel.self, {
          kind: 'heartbeat_reply',
          askedAt: fleet.clock.monotonicMilliseconds(),
          version: a.changeLog.authority.version + 1,
          remembers: true,
          leaving: false,
          silentPeers: [],
        });
      }
    };
    fleet.network.isolate('a', true, HOSTS);
    for (let step = 0; step < VIEW_TIMEOUT + 2; step += 100) {
      report(HOSTS.slice(1));
      await fleet.clock.advanceAsync(100);
    }
    expect(a.membership.view.isConfirmed()).toBe(false);
    // Three peers with the same version and the host itself are a read quorum.
    for (const hostId of ['b', 'c', 'd']) {
      fleet.network.setSilent('a', hostId, false);
    }
    for (let step = 0; step < VIEW_TIMEOUT; step += 100) {
      report(HOSTS.slice(4));
      await fleet.clock.advanceAsync(100);
    }
    expect(a.membership.view.isConfirmed()).toBe(true);
  });

  it('is not confirmed immediately after the process was paused', async () => {
    const fleet = await startFleet();
    const {clock, membership} = fleet.hosts.get('a')!;
    clock.pause();
    await fleet.clock.advanceAsync(VIEW_TIMEOUT);
    let confirmedAtOnce: boolean | undefined;
    clock.resume(() => {
      confirmedAtOnce = membership.view.isConfirmed();
    });
    expect(confirmedAtOnce).toBe(false);
    await fleet.clock.advanceAsync(100);
    expect(membership.view.isConfirmed()).toBe(true);
  });

  it('ends a wait when the view is confirmed or the signal is aborted', async () => {
    const fleet = new SimulatedFleet();
    fleet.table.down = true;
    const {view} = fleet.start('a').membership;
    const controller = new AbortController();
    const ended: string[] = [];
    void view
      .waitUntilConfirmed(controller.signal)
      .then(() => ended.push('aborted'));
    void view.waitUntilConfirmed().then(() => ended.push('confirmed'));
    await fleet.clock.advanceAsync(2000);
    expect(ended).toEqual([]);
    controller.abort();
    await fleet.clock.advanceAsync(1);
    expect(ended).toEqual(['aborted']);
    fleet.table.down = false;
    await fleet.clock.advanceAsync(2000);
    expect(ended).toEqual(['aborted', 'confirmed']);
  });
});
