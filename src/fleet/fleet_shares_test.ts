import {expect, test} from 'vitest';
import {FleetShares} from './mod.ts';

// Guards against a host without its peers that takes all slots to be free, and against
// one that uses a part of the slots although it hears of the others.
test.each([
  {name: 'all peers connected', isActive: true, peers: ['b', 'c'], share: 1},
  {name: 'one peer connected', isActive: true, peers: ['b'], share: 1},
  {name: 'no peer connected', isActive: true, peers: [], share: 1 / 3},
  {name: 'standby with its upstream', isActive: false, peers: ['b'], share: 1},
  {name: 'standby alone', isActive: false, peers: [], share: 0.1},
])('share of the slots that a host knows of: $name', input => {
  const hosts = input.isActive ? ['a', 'b', 'c'] : ['b', 'c', 'd'];
  const shares = new FleetShares({
    topology: {
      isActive: input.isActive,
      activeHosts: hosts.map(hostId => ({hostId})),
      preferredCount: hosts.length,
      upstream: input.isActive ? undefined : 'b',
    },
    hosts: {selfId: 'a', size: 4},
    connected: () => new Set(input.peers),
  } as unknown as ConstructorParameters<typeof FleetShares>[0]);
  expect(shares.ofKnownSlots()).toBeCloseTo(input.share);
});
