import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type FleetAction, FleetRun} from './fleet_actions.ts';
import {FleetOracle} from './fleet_oracle.ts';
import {SimulatedFleet, type SimulatedHost} from './simulated_fleet.ts';

const SCOPES = ['pool:labels', 'team:gebre'];
const VIEW_TIMEOUT_MILLISECONDS = 3000;

/** Options of {@link runFleetActions}. */
export interface RunFleetActionsOptions {
  hostIds: readonly string[];
  /** Seed of lost and delayed messages. */
  seed: number;
  /** Breaks a host deliberately. @default no fault */
  mutate?: (host: SimulatedHost, fleet: SimulatedFleet) => void;
}

/**
 * Runs actions on a fresh fleet.
 *
 * @returns Number of times that a host was seen to act for a scope.
 * @throws {Error} When a property of {@link FleetOracle} does not hold.
 */
export async function runFleetActions(
  actions: readonly FleetAction[],
  options: RunFleetActionsOptions,
): Promise<number> {
  const {hostIds, seed, mutate} = options;
  const generator = xoroshiro128plus(seed);
  const fleet: SimulatedFleet = new SimulatedFleet({
    scopes: SCOPES,
    adjust: host => {
      oracle.watch(host);
      mutate?.(host, fleet);
    },
  });
  const oracle = new FleetOracle(fleet, SCOPES, VIEW_TIMEOUT_MILLISECONDS);
  const run = new FleetRun(
    fleet,
    hostIds,
    () => uniformFloat64(generator),
    () => oracle.check(),
  );
  try {
    await fleet.startAll(hostIds);
    await run.wait(VIEW_TIMEOUT_MILLISECONDS);
    for (const action of actions) await run.apply(action);
    await run.wait(2 * VIEW_TIMEOUT_MILLISECONDS);
  } finally {
    for (const hostId of hostIds) fleet.kill(hostId);
  }
  return oracle.actingCount;
}
