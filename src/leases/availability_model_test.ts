import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  type FleetAction,
  fleetAction,
  FleetRun,
} from '../testing/fleet_actions.ts';
import {
  SimulatedFleet,
  type SimulatedHost,
} from '../testing/simulated_fleet.ts';

const HOSTS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const SCOPES = ['pool:1', 'pool:2', 'team:1', 'team:2', 'team:3', 'team:4'];
const SEED = 20_261_204;
const ZERO_RANDOM = () => 0;

/**
 * Excludes faults of the whole network, which would affect the stable hosts.
 */
const LOCAL_KINDS: readonly FleetAction['kind'][] = [
  'wait',
  'pause',
  'resume',
  'kill',
  'start',
  'restart',
  'link',
  'isolate',
  'cut_from_table',
];

interface Outage {
  /** Hosts that stay connected. */
  readonly stableHosts: readonly string[];
  /** Faults and other actions on the remaining hosts. */
  readonly actions: readonly FleetAction[];
}

const outage: fc.Arbitrary<Outage> = fc.record({
  stableHosts: fc.subarray(HOSTS, {minLength: 4, maxLength: 4}),
  actions: fc.array(
    fleetAction(4).filter(({kind}) => LOCAL_KINDS.includes(kind)),
    {minLength: 5, maxLength: 25},
  ),
});

/** Makes the table unavailable and checks the stable hosts at each instant. */
async function runOutage(
  {stableHosts, actions}: Outage,
  adjust: (host: SimulatedHost) => void,
): Promise<void> {
  const fleet = new SimulatedFleet({adjust});
  await fleet.startAll(HOSTS);
  for (const {leases} of fleet.hosts.values()) {
    for (const scope of SCOPES) leases.addScope(scope);
  }
  await fleet.until(() =>
    SCOPES.every(scope => fleet.actingFor(scope).length === 1),
  );
  void fleet.change(stableHosts[0]!);
  await fleet.clock.advanceAsync(8);
  fleet.table.down = true;
  const held = SCOPES.flatMap(scope => {
    const holder = fleet.actingFor(scope)[0]!;
    return stableHosts.includes(holder) ? [{scope, holder}] : [];
  });
  const check = () => {
    for (const hostId of stableHosts) {
      if (fleet.hosts.get(hostId)!.membership.view.isConfirmed()) continue;
      throw new Error(`${hostId} lost its view during the outage`);
    }
    for (const {scope, holder} of held) {
      if (fleet.actingFor(scope)[0] === holder) continue;
      throw new Error(`${holder} stopped acting for ${scope}`);
    }
  };
  const others = HOSTS.filter(hostId => !stableHosts.includes(hostId));
  const run = new FleetRun(fleet, others, ZERO_RANDOM, check);
  try {
    for (const action of actions) await run.apply(action);
    await run.wait(7000);
  } finally {
    for (const hostId of HOSTS) fleet.kill(hostId);
  }
}

function check(numRuns: number, adjust: (host: SimulatedHost) => void) {
  const property = fc.asyncProperty(outage, value => runOutage(value, adjust));
  return fc.check(property, {seed: SEED, numRuns, endOnFailure: true});
}

describe(
  'an outage of the table with 4 of 8 hosts connected',
  {timeout: 120_000},
  () => {
    it('preserves every view and lease', async () => {
      const result = await check(20, () => undefined);
      expect(result.failed, fc.defaultReportMessage(result)).toBe(false);
    });

    it('loses a view if evidence of five members is required', async () => {
      const result = await check(20, ({membership: {view}}) => {
        const evidenceOf = view['evidenceOf'].bind(view);
        // Two additional members raise the required evidence from 4 to 5.
        view['evidenceOf'] = list => evidenceOf([...list, 'x', 'y']);
      });
      expect(String(result.errorInstance)).toMatch(/lost its view/);
    });

    it('loses all views if hasBeenConfirmed is reset with the view', async () => {
      const countConfirmedHosts = async (
        adjust: (host: SimulatedHost) => void,
      ) => {
        const fleet = new SimulatedFleet({adjust});
        await fleet.startAll(HOSTS);
        fleet.table.down = true;
        for (const hostId of HOSTS) fleet.network.isolate(hostId, true, HOSTS);
        await fleet.clock.advanceAsync(10_000);
        for (const hostId of HOSTS) fleet.network.isolate(hostId, false, HOSTS);
        await fleet.clock.advanceAsync(10_000);
        return [...fleet.hosts.values()].filter(({membership}) =>
          membership.view.isConfirmed(),
        ).length;
      };
      expect(await countConfirmedHosts(() => undefined)).toBe(HOSTS.length);
      const confirmedHosts = await countConfirmedHosts(
        ({membership: {view, heartbeats}}) => {
          view.onChange(confirmed => {
            heartbeats.hasBeenConfirmed = confirmed;
          });
        },
      );
      expect(confirmedHosts).toBe(0);
    });
  },
);
