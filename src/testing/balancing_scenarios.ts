import type {BalancingScenario} from './balancing_simulation.ts';

/**
 * Load that the engines can serve as a whole: 0.7 of their slots with two bursts that
 * fit into their queues, one engine that needs 2.5 times as long, and sessions of which
 * one is continued by many callers.
 */
const LOAD = {
  load: 0.7,
  burstLoad: 1.4,
  burstPerSlot: 1.5,
  slowFactor: 2.5,
  hotSessionShare: 0.05,
} as const;

/** Scenarios of `docs/design/even_load.md`, without seeds. Development only. */
export const BALANCING_SCENARIOS: readonly Omit<BalancingScenario, 'seed'>[] = [
  {...LOAD, hosts: 8, engines: 8},
  {...LOAD, hosts: 30, engines: 20},
  {...LOAD, hosts: 74, engines: 40},
  {...LOAD, hosts: 1100, engines: 60},
  {...LOAD, hosts: 1100, engines: 60, hotSessionShare: 0.3},
];

/** Seeds over which results are averaged. */
export const BALANCING_SEEDS = [1, 2, 3] as const;
