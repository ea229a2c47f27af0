import {afterEach, describe, expect, test} from 'vitest';
import {ReplicaAnnouncer} from '../engines/mod.ts';
import {ExchangeFleet, type ExchangeHost} from '../testing/exchange_fleet.ts';
import {poolEndpoints, PoolTraffic} from '../testing/pool_traffic.ts';

/** Users' target: bytes a second that control may send from a host. */
const CONTROL_BYTES_PER_SECOND = 23_000;

/** Slowest link of an active host on the deployments so far. */
const SLOWEST_LINK_BYTES_PER_SECOND = 10_000_000 / 8;

/** Largest share of its link that control may take from callers' requests. */
const LINK_SHARE = 0.1;

const WARM_UP_MILLISECONDS = 2000;
const MEASURED_MILLISECONDS = 8000;

interface Deployment {
  name: string;
  activeHosts: number;
  standbyHosts: number;
  engines: number;
  models: number;
  requestsPerSecond: number;
  loadsPerSecond: number;
}

const DEPLOYMENTS: Deployment[] = [
  {
    name: '8 hosts',
    activeHosts: 8,
    standbyHosts: 0,
    engines: 6,
    models: 50,
    requestsPerSecond: 28,
    loadsPerSecond: 5,
  },
  {
    name: '84 hosts before 78 engines',
    activeHosts: 16,
    standbyHosts: 68,
    engines: 78,
    models: 364,
    requestsPerSecond: 180,
    loadsPerSecond: 43,
  },
];

let fleet: ExchangeFleet;

afterEach(() => fleet.stop());

describe('messages between hosts', () => {
  // Guards against links that are full of state which the receivers know already:
  // connections to endpoints timed out behind it, and endpoints learned seconds late
  // that their callers had left.
  test.each(DEPLOYMENTS)(
    'of $name stay within the target',
    async ({activeHosts, standbyHosts, engines, ...traffic}) => {
      fleet = new ExchangeFleet({
        activeHosts,
        standbyHosts,
        endpoints: poolEndpoints(engines),
      });
      const manager = fleet.active[0]!;
      const announcer = new ReplicaAnnouncer({
        clock: fleet.clock,
        incarnation: manager.identity.incarnation,
        announce: announcement => manager.announce(announcement),
      });
      const pool = new PoolTraffic({
        ...traffic,
        fleet,
        seed: 1,
        announce: complete => announcer.announce(complete),
      });
      await pool.run(WARM_UP_MILLISECONDS);
      const before = new Map(fleet.hosts.map(host => [host, host.sent]));
      await pool.run(MEASURED_MILLISECONDS);
      const perSecond = (host: ExchangeHost) =>
        (host.sent - (before.get(host) ?? 0)) / (MEASURED_MILLISECONDS / 1000);
      const rates = fleet.hosts.map(perSecond);
      const mean = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
      expect(mean).toBeLessThanOrEqual(CONTROL_BYTES_PER_SECOND);
      expect(Math.max(...rates)).toBeLessThanOrEqual(
        SLOWEST_LINK_BYTES_PER_SECOND * LINK_SHARE,
      );
    },
  );
});
