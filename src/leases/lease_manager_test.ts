import {describe, expect, it} from 'vitest';
import {SimulatedFleet} from '../testing/simulated_fleet.ts';

const HOSTS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const SCOPE = 'pool:labels';
const VIEW_TIMEOUT = 3000;

async function startFleet(): Promise<{fleet: SimulatedFleet; holder: string}> {
  const fleet = new SimulatedFleet({scopes: [SCOPE]});
  await fleet.startAll(HOSTS);
  await fleet.until(() => fleet.actingFor(SCOPE).length === 1);
  return {fleet, holder: fleet.actingFor(SCOPE)[0]!};
}

function confirmedHosts(fleet: SimulatedFleet): string[] {
  return [...fleet.hosts.values()]
    .filter(host => host.membership.view.isConfirmed())
    .map(host => host.hostId);
}

describe('LeaseManager', () => {
  it('takes over from a holder whose process has terminated', async () => {
    const {fleet, holder} = await startFleet();
    fleet.kill(holder);
    await fleet.until(() => fleet.actingFor(SCOPE).length === 1, 10_000);
    expect(fleet.actingFor(SCOPE)).not.toEqual([holder]);
  });

  it('lets a new holder act without a wait after a release', async () => {
    const {fleet, holder} = await startFleet();
    const host = fleet.hosts.get(holder)!;
    host.leaving = true;
    await fleet.clock.advanceAsync(1000);
    const released = host.leases.releaseAll(1000);
    expect(host.leases.actingEpoch(SCOPE)).toBeUndefined();
    await fleet.clock.advanceAsync(500);
    expect(await released).toBe(true);
    expect(fleet.actingFor(SCOPE)).toHaveLength(1);
    expect(fleet.actingFor(SCOPE)).not.toEqual([holder]);
  });

  it('releases a lease that is granted during releaseAll', async () => {
    const fleet = new SimulatedFleet();
    await fleet.startAll(['a']);
    fleet.tableDelayMilliseconds = 300;
    const {leases} = fleet.hosts.get('a')!;
    leases.addScope(SCOPE);
    await fleet.clock.advanceAsync(300);
    const {changeLog} = fleet.hosts.get('a')!;
    const released = leases
      .releaseAll(20_000)
      .then(() => changeLog.authority.leases.get(SCOPE));
    await fleet.clock.advanceAsync(20_000);
    expect(await released).toMatchObject({epoch: 1, holder: null});
  });

  it('keeps acting for 10 minutes during a table outage', async () => {
    const {fleet, holder} = await startFleet();
    fleet.table.down = true;
    for (let second = 0; second < 600; second++) {
      await fleet.clock.advanceAsync(1000);
      expect(confirmedHosts(fleet)).toEqual(HOSTS);
      expect(fleet.actingFor(SCOPE)).toEqual([holder]);
    }
  });

  it('does not let a paused holder act after it was replaced', async () => {
    const {fleet, holder} = await startFleet();
    const host = fleet.hosts.get(holder)!;
    host.clock.pause();
    await fleet.until(() => {
      const acting = fleet.actingFor(SCOPE);
      return acting.length === 1 && acting[0] !== holder;
    });
    host.clock.resume();
    for (let step = 0; step < 100; step++) {
      expect(fleet.actingFor(SCOPE)).toHaveLength(1);
      expect(fleet.actingFor(SCOPE)).not.toContain(holder);
      await fleet.clock.advanceAsync(50);
    }
  });

  it.each([
    {name: 'only one host reaches the table', reaching: 1},
    {name: 'two hosts reach the table', reaching: 2},
  ])('takes over when $name', async ({reaching}) => {
    const {fleet, holder} = await startFleet();
    const others = HOSTS.filter(id => id !== holder);
    for (const id of others.slice(reaching)) fleet.cutFromTable.add(id);
    fleet.kill(holder);
    await fleet.until(() => fleet.actingFor(SCOPE).length === 1, 30_000);
    expect(others.slice(0, reaching)).toContain(fleet.actingFor(SCOPE)[0]);
  });

  it('keeps a live holder while other hosts restart', async () => {
    const {fleet, holder} = await startFleet();
    const others = HOSTS.filter(id => id !== holder);
    for (const id of others.slice(0, 3)) {
      fleet.kill(id);
      await fleet.clock.advanceAsync(3000);
      fleet.start(id);
      await fleet.clock.advanceAsync(3000);
      expect(fleet.actingFor(SCOPE)).toEqual([holder]);
    }
  });

  it('replaces a holder that reaches the table but no peers', async () => {
    const {fleet, holder} = await startFleet();
    fleet.network.isolate(holder, true, HOSTS);
    await fleet.until(() => {
      const acting = fleet.actingFor(SCOPE);
      return acting.length === 1 && acting[0] !== holder;
    });
  });

  it('does not act in an epoch after a release of unknown outcome', async () => {
    const {fleet, holder} = await startFleet();
    const host = fleet.hosts.get(holder)!;
    fleet.table.down = true;
    const released = host.leases.releaseAll(5000);
    await fleet.clock.advanceAsync(6000);
    expect(await released).toBe(false);
    expect(host.leases.actingEpoch(SCOPE)).toBeUndefined();
    fleet.table.down = false;
    await fleet.until(() => fleet.actingFor(SCOPE).length === 1);
    expect(fleet.actingFor(SCOPE)).not.toEqual([holder]);
  });

  it('reports when it starts and stops acting', async () => {
    const {fleet, holder} = await startFleet();
    const host = fleet.hosts.get(holder)!;
    const seen: (number | undefined)[] = [];
    host.leases.onChange((_scope, epoch) => seen.push(epoch));
    fleet.cutFromTable.add(holder);
    fleet.network.isolate(holder, true, HOSTS);
    await fleet.clock.advanceAsync(VIEW_TIMEOUT + 300);
    expect(seen).toEqual([undefined]);
    expect(host.leases.holderOf(SCOPE)).toBe(holder);
  });

  it('stops within the view timeout if it reaches neither table nor peers', async () => {
    const {fleet, holder} = await startFleet();
    fleet.cutFromTable.add(holder);
    fleet.network.isolate(holder, true, HOSTS);
    await fleet.clock.advanceAsync(VIEW_TIMEOUT + 2);
    expect(confirmedHosts(fleet)).toEqual(HOSTS.filter(id => id !== holder));
    expect(fleet.hosts.get(holder)!.leases.actingEpoch(SCOPE)).toBeUndefined();
  });
});
