import {afterEach, describe, expect, test} from 'vitest';
import {ReplicaAnnouncer} from '../engines/mod.ts';
import {ExchangeFleet, type ExchangeHost} from '../testing/exchange_fleet.ts';
import {
  POOL_SERVICE,
  poolEndpoints,
  PoolTraffic,
} from '../testing/pool_traffic.ts';

const ACTIVE_HOSTS = 6;
const STANDBY_HOSTS = 12;
const ENGINES = 12;

/** Time of the trouble, and of the traffic after it. */
const TROUBLE_MILLISECONDS = 3000;

/** Two requests for a complete report, and the interval of the digests. */
const RECOVERY_MILLISECONDS = 2500;

interface Trouble {
  name: string;
  begin: (fleet: ExchangeFleet) => void;
  end: (fleet: ExchangeFleet) => void;
}

const TROUBLES: Trouble[] = [
  {name: 'no trouble', begin: () => undefined, end: () => undefined},
  {
    name: 'every third message lost',
    begin: fleet => {
      let sent = 0;
      fleet.losesMessage = () => ++sent % 3 === 0;
    },
    end: fleet => (fleet.losesMessage = () => false),
  },
  {
    name: 'all messages of one host lost',
    begin: fleet => {
      const {hostId} = fleet.active[2]!.identity;
      fleet.losesMessage = (from, to) => [from, to].includes(hostId);
    },
    end: fleet => (fleet.losesMessage = () => false),
  },
  {
    name: 'the manager disconnected',
    begin: ({active, hosts}) => {
      for (const host of hosts) {
        if (host.peers.has(active[0]!.identity.hostId))
          host.disconnect(active[0]!);
      }
    },
    end: ({active, standby}) => {
      for (const host of active.slice(1)) active[0]!.connect(host);
      standby.forEach(host => {
        if (host.upstream === active[0]!.identity.hostId)
          active[0]!.connect(host);
      });
    },
  },
];

let fleet: ExchangeFleet;

afterEach(() => fleet.stop());

describe('changes of state between hosts', () => {
  // Guards against hosts that go on with a state of which they have missed a change.
  test.each(TROUBLES)('agree on all hosts after $name', async trouble => {
    fleet = new ExchangeFleet({
      activeHosts: ACTIVE_HOSTS,
      standbyHosts: STANDBY_HOSTS,
      endpoints: poolEndpoints(ENGINES),
    });
    const manager = fleet.active[0]!;
    const announcer = new ReplicaAnnouncer({
      clock: fleet.clock,
      incarnation: manager.identity.incarnation,
      announce: announcement => manager.announce(announcement),
    });
    const pool = new PoolTraffic({
      fleet,
      models: 40,
      requestsPerSecond: 60,
      loadsPerSecond: 10,
      seed: 7,
      announce: state => announcer.announce(state),
    });
    await pool.run(1000);
    trouble.begin(fleet);
    await pool.run(TROUBLE_MILLISECONDS);
    trouble.end(fleet);
    await pool.run(TROUBLE_MILLISECONDS);
    await pool.rest(RECOVERY_MILLISECONDS);
    const truth = totalInFlight(fleet.active);
    for (const host of fleet.active) {
      expect(Object.fromEntries(host.load.peerInFlight())).toEqual(
        without(truth, host),
      );
    }
    const demanded = fleet.active.reduce(
      (sum, {demands}) => sum + demands.size,
      0,
    );
    const reported = manager.load
      .waiting(POOL_SERVICE)
      .reduce((sum, {requests}) => sum + requests, 0);
    expect(reported).toBe(demanded);
    const [state] = manager.replicas.currentStates();
    for (const host of fleet.hosts) {
      const [known] = host.replicas.currentStates();
      expect(known?.engines).toEqual(state?.engines);
      expect(sorted(known?.remoteOnly.models)).toEqual(
        sorted(state?.remoteOnly.models),
      );
      expect(sorted(known?.expected.map(({target}) => target))).toEqual(
        sorted(state?.expected.map(({target}) => target)),
      );
    }
  });
});

function totalInFlight(hosts: readonly ExchangeHost[]): Record<string, number> {
  const total: Record<string, number> = {};
  for (const {endpoints} of hosts) {
    for (const [id, {inFlight}] of endpoints)
      total[id] = (total[id] ?? 0) + inFlight;
  }
  return total;
}

/** Counts of the other hosts; endpoints without any are omitted. */
function without(
  total: Record<string, number>,
  host: ExchangeHost,
): Record<string, number> {
  return Object.fromEntries(
    Object.entries(total).flatMap(([id, count]) => {
      const others = count - (host.endpoints.get(id)?.inFlight ?? 0);
      return others === 0 ? [] : [[id, others]];
    }),
  );
}

function sorted(names: readonly string[] | undefined): readonly string[] {
  return [...(names ?? [])].sort();
}
