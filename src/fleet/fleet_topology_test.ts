import {describe, expect, test} from 'vitest';
import {ManualClock} from '../testing/manual_clock.ts';
import {
  FleetTopology,
  HostRegistry,
  type HostRow,
  MINIMUM_ACTIVE_HOSTS,
  REPLACEMENT_MILLISECONDS,
} from './mod.ts';

const STEP_MILLISECONDS = 250;

/** Hosts that see each other's rows and connect as their topologies want. */
class SimulatedFleet {
  readonly clock = new ManualClock();
  readonly rows: HostRow[];
  readonly topologies: FleetTopology[];
  /** Hosts that neither connect nor answer. */
  readonly dead = new Set<string>();
  private peers = new Map<string, Set<string>>();

  constructor(count: number) {
    this.rows = Array.from({length: count}, (_unused, index) => row(index));
    const registries = this.rows.map(self => {
      const registry = new HostRegistry({
        hostId: self.hostId,
        self: () => self,
      });
      registry.applySnapshot(this.rows);
      return registry;
    });
    this.topologies = registries.map(
      hosts =>
        new FleetTopology({
          clock: this.clock,
          hosts,
          connected: () => new Set(this.connectedTo(hosts.selfId)),
          endpointSlots: () => 1000,
        }),
    );
  }

  /** Largest number of connections of a host. */
  get mostConnections(): number {
    return Math.max(
      ...this.rows.map(({hostId}) => this.connectedTo(hostId).length),
    );
  }

  run(milliseconds: number): void {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      this.step();
    }
  }

  private step(): void {
    this.clock.advance(STEP_MILLISECONDS);
    const peers = new Map(
      this.rows.map(({hostId}) => [hostId, new Set<string>()]),
    );
    const byAddress = new Map(
      this.rows.map(({hostId, peerAddress}) => [peerAddress, hostId]),
    );
    this.topologies.forEach((topology, index) => {
      const {hostId} = this.rows[index]!;
      if (this.dead.has(hostId)) return;
      topology.refresh();
      for (const address of topology.peerAddresses()) {
        const peer = byAddress.get(address);
        if (peer === undefined || this.dead.has(peer)) continue;
        peers.get(hostId)?.add(peer);
        peers.get(peer)?.add(hostId);
      }
    });
    this.peers = peers;
    // An active host tells its standby hosts which active hosts are down.
    for (const [index, topology] of this.topologies.entries()) {
      const {hostId} = this.rows[index]!;
      if (this.dead.has(hostId) || topology.upstream === undefined) continue;
      if (!this.connectedTo(hostId).includes(topology.upstream)) continue;
      const upstream = this.rows.findIndex(
        other => other.hostId === topology.upstream,
      );
      topology.adoptDownHosts(this.topologies[upstream]!.downHosts);
    }
  }

  private connectedTo(hostId: string): string[] {
    return [...(this.peers.get(hostId) ?? [])];
  }

  living(): FleetTopology[] {
    return this.topologies.filter(
      (_unused, index) => !this.dead.has(this.rows[index]!.hostId),
    );
  }
}

function row(index: number): HostRow {
  return {
    hostId: `host-${String(index).padStart(4, '0')}`,
    incarnation: `process-${index}`,
    dataCentre: `dc-${index % 5}`,
    callerAddress: `10.0.0.${index}:1`,
    peerAddress: `ws://10.0.0.${index}:2`,
    state: 'ready',
    cores: 1,
    linkMegabits: 100,
    storeEra: 0,
  };
}

function activeIds(topology: FleetTopology): string[] {
  return topology.activeHosts.map(({hostId}) => hostId);
}

describe('FleetTopology', () => {
  // Guards against connections that grow with the number of hosts.
  test.each([{hosts: 8}, {hosts: 30}, {hosts: 100}, {hosts: 300}])(
    '$hosts hosts agree and keep few connections',
    ({hosts}) => {
      const fleet = new SimulatedFleet(hosts);
      fleet.run(3000);
      const expected = activeIds(fleet.topologies[0]!);
      expect(expected.length).toBe(Math.min(hosts, MINIMUM_ACTIVE_HOSTS));
      for (const topology of fleet.topologies) {
        expect(activeIds(topology)).toEqual(expected);
      }
      const standbyPerActive = hosts / MINIMUM_ACTIVE_HOSTS;
      expect(fleet.mostConnections).toBeLessThanOrEqual(
        MINIMUM_ACTIVE_HOSTS + 3 * standbyPerActive,
      );
    },
  );

  // Any number of hosts may be lost at once, also all active ones.
  test.each([
    {name: 'one active host', lost: [0]},
    {name: 'half of the active hosts', lost: [0, 2, 4, 6, 8, 10, 12, 14]},
    {name: 'all active hosts', lost: Array.from({length: 16}, (_u, i) => i)},
  ])('$name: the others take over', ({lost}) => {
    const fleet = new SimulatedFleet(60);
    fleet.run(3000);
    const before = activeIds(fleet.topologies[0]!);
    for (const rank of lost) fleet.dead.add(before[rank]!);
    fleet.run(REPLACEMENT_MILLISECONDS * 6);
    for (const topology of fleet.living()) {
      const addresses = topology.callerHosts().map(({hostId}) => hostId);
      const alive = addresses.filter(hostId => !fleet.dead.has(hostId));
      expect(alive.length).toBeGreaterThanOrEqual(MINIMUM_ACTIVE_HOSTS / 2);
      expect(alive.length).toBe(addresses.length);
    }
  });

  test('hosts that return are active again', () => {
    const fleet = new SimulatedFleet(60);
    fleet.run(3000);
    const before = activeIds(fleet.topologies[0]!);
    for (const hostId of before.slice(0, 5)) fleet.dead.add(hostId);
    fleet.run(8000);
    fleet.dead.clear();
    fleet.run(4000);
    for (const topology of fleet.topologies) {
      expect(activeIds(topology)).toEqual(before);
    }
  });

  // A host that cannot reach any peer must still name some address.
  test('a host that is cut off names itself', () => {
    const fleet = new SimulatedFleet(60);
    fleet.run(3000);
    const standby = fleet.rows.findIndex(
      ({hostId}) => !activeIds(fleet.topologies[0]!).includes(hostId),
    );
    const {hostId: ownId} = fleet.rows[standby]!;
    for (const {hostId} of fleet.rows) {
      if (hostId !== ownId) fleet.dead.add(hostId);
    }
    fleet.run(3000);
    const named = fleet.topologies[standby]!.callerHosts();
    expect(named.map(({hostId}) => hostId)).toContain(ownId);
  });

  // Guards against look-ups that name a host which has long been off: a standby host
  // that had just started took all active hosts of the table to be alive (DRAIN).
  test('a standby host that has just started names no host that is off', () => {
    const clock = new ManualClock();
    const rows = Array.from({length: 60}, (_unused, index) => row(index));
    const connected = new Set<string>();
    const topologyOf = (self: HostRow) => {
      const hosts = new HostRegistry({hostId: self.hostId, self: () => self});
      hosts.applySnapshot(rows);
      const topology = new FleetTopology({
        clock,
        hosts,
        connected: () => connected,
        endpointSlots: () => 1000,
      });
      topology.refresh();
      return topology;
    };
    const active = activeIds(topologyOf(rows[0]!));
    const standby = rows.find(({hostId}) => !active.includes(hostId))!;
    const topology = topologyOf(standby);
    const [off] = active;
    for (const hostId of active) if (hostId !== off) connected.add(hostId);
    topology.refresh();
    const named = () => topology.callerHosts().map(({hostId}) => hostId);
    expect(named()).not.toContain(off);
    expect(named()).toContain(standby.hostId);
    topology.adoptDownHosts([off!]);
    expect(named()).not.toContain(off);
    expect(named().length).toBeGreaterThan(2);
  });
});
