import {describe, expect, test} from 'vitest';
import {
  chooseActiveHosts,
  type HostRow,
  MAXIMUM_ACTIVE_HOSTS,
  MINIMUM_ACTIVE_HOSTS,
} from './mod.ts';

function fleet(count: number, dataCentres = 5): HostRow[] {
  return Array.from({length: count}, (_unused, index) => ({
    hostId: `host-${index}`,
    incarnation: '1',
    dataCentre: `dc-${index % dataCentres}`,
    callerAddress: `10.0.0.${index}:1`,
    peerAddress: `ws://10.0.0.${index}:2`,
    state: 'ready' as const,
    cores: index % 3 === 0 ? 1.35 : 0.324,
    linkMegabits: 140,
    storeEra: 0,
  }));
}

describe('chooseActiveHosts', () => {
  // Hundreds of hosts for the traffic of a few: what a host costs must follow the
  // traffic, not the number of hosts.
  test.each([
    {hosts: 8, slots: 400, expected: 8},
    {hosts: 195, slots: 1014, expected: MINIMUM_ACTIVE_HOSTS},
    {hosts: 1100, slots: 1014, expected: MINIMUM_ACTIVE_HOSTS},
    {hosts: 1100, slots: 120_000, expected: MAXIMUM_ACTIVE_HOSTS},
    {hosts: 0, slots: 0, expected: 0},
  ])(
    '$hosts hosts before $slots places: $expected active',
    ({hosts, slots, expected}) => {
      expect(chooseActiveHosts(fleet(hosts), slots).length).toBe(expected);
    },
  );

  test('prefers large hosts of all data centres', () => {
    const chosen = chooseActiveHosts(fleet(195), 1014);
    expect(chosen.every(({cores}) => cores === 1.35)).toBe(true);
    expect(new Set(chosen.map(({dataCentre}) => dataCentre)).size).toBe(5);
  });

  // Hosts learn of rows and endpoints in different orders and at different times.
  test('does not depend on the order of rows or a few endpoints', () => {
    const ids = (hosts: readonly HostRow[]) => hosts.map(({hostId}) => hostId);
    const expected = ids(chooseActiveHosts(fleet(195), 1000));
    expect(ids(chooseActiveHosts(fleet(195).reverse(), 990))).toEqual(expected);
  });

  test('replaces a lost host and keeps the others', () => {
    const before = chooseActiveHosts(fleet(195), 1014);
    const rest = fleet(195).filter(host => host.hostId !== before[3]?.hostId);
    const after = new Set(
      chooseActiveHosts(rest, 1014).map(({hostId}) => hostId),
    );
    const kept = before.filter(({hostId}) => after.has(hostId));
    expect(kept.length).toBe(before.length - 1);
    expect(after.size).toBe(before.length);
  });
});
