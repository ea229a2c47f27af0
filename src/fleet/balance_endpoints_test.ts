import {expect, test} from 'vitest';
import {
  BALANCING_SCENARIOS,
  BALANCING_SEEDS,
} from '../testing/balancing_scenarios.ts';
import {
  type BalancingResult,
  BalancingSimulation,
  type BalancingStrategy,
  simulatedEndpoint,
} from '../testing/balancing_simulation.ts';
import {BALANCING_STRATEGIES} from '../testing/balancing_strategies.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {balanceEndpoints, chooseEndpoint, UnobservedRequests} from './mod.ts';

/** Targets of docs/design/load_features.md, section 3. */
const MAXIMUM_BUSIEST_TO_MEAN = 2;
const MAXIMUM_REJECTION_SHARE = 0.02;

function isWithinTargets(result: BalancingResult): boolean {
  return (
    result.busiestToMean < MAXIMUM_BUSIEST_TO_MEAN &&
    result.momentaryBusiestToMean < MAXIMUM_BUSIEST_TO_MEAN &&
    result.rejectionShare < MAXIMUM_REJECTION_SHARE
  );
}

const {waterFilling, leastLoaded, roundRobin, random} = BALANCING_STRATEGIES;

// Guards against herding: hosts that all choose the engine with the lowest count.
test.each(
  BALANCING_SCENARIOS.flatMap(scenario =>
    BALANCING_SEEDS.map(seed => ({...scenario, seed})),
  ),
)(
  'delayed counts give even load: $hosts hosts, hot session $hotSessionShare, seed $seed',
  scenario => {
    const result = new BalancingSimulation(scenario, waterFilling).run();
    const present = new BalancingSimulation(scenario, leastLoaded).run();
    expect(result).toSatisfy(isWithinTargets);
    expect(result.lateShare).toBeLessThanOrEqual(present.lateShare);
  },
);

// Guards against scenarios that are within the targets without the mechanism.
test.each(BALANCING_SCENARIOS)(
  'baselines miss the targets: $hosts hosts, hot session $hotSessionShare',
  scenario => {
    const run = (strategy: BalancingStrategy) =>
      new BalancingSimulation({...scenario, seed: 1}, strategy).run();
    expect(run(roundRobin)).not.toSatisfy(isWithinTargets);
    expect(run(random)).not.toSatisfy(isWithinTargets);
    // Fewer hosts send too little within a report interval for herding.
    if (scenario.hosts > 30)
      expect(run(leastLoaded)).not.toSatisfy(isWithinTargets);
  },
);

// Guards against choices that ignore what a host knows for certain.
test.each([
  {name: 'free slots', change: {}, expected: [0.25, 0.25, 0.25, 0.25]},
  {name: 'load', change: {inFlight: 6}, expected: [0, 1 / 3, 1 / 3, 1 / 3]},
  {name: 'failures', change: {fails: true}, expected: [0, 1, 1, 1]},
  {name: 'a limit', change: {isLimited: true}, expected: [0, 1, 1, 1]},
  {name: 'a pause', change: {isPaused: true}, expected: [0, 1, 1, 1]},
])('an endpoint gets its share by $name', ({change, expected}) => {
  const endpoints = [0, 1, 2, 3].map(index => simulatedEndpoint(index, 12));
  const [first] = endpoints;
  if ('inFlight' in change) first!.inFlight = 6;
  if ('fails' in change) {
    for (let count = 0; count < 20; count++)
      first!.condition.recordBrokenRequest();
  }
  if ('isPaused' in change) first!.condition.recordConnectFailure(0);
  const total = expected.reduce((sum, share) => sum + share, 0);
  const chosen = [0, 0, 0, 0];
  for (let step = 0.5; step < 1200; step++) {
    const choice = balanceEndpoints(endpoints, {
      now: 0,
      excluded: new Set(),
      dataCentre: 'elsewhere',
      isLimited: endpoint => 'isLimited' in change && endpoint === first,
      unobserved: 4,
      unobservedOfKey: 0,
      localShare: 0,
      random: () => step / 1200,
    });
    chosen[endpoints.indexOf(choice!.endpoint)]!++;
  }
  for (const [index, count] of chosen.entries())
    expect(count / 1200).toBeCloseTo(expected[index]! / total, 2);
});

// Guards against a session that many callers continue and that fills its engine, and
// against a loss of affinity where it causes no uneven load.
test.each([
  {name: 'keeps', unobservedOfKey: 0, outcome: 'affinity'},
  {name: 'gives up', unobservedOfKey: 12, outcome: 'spread'},
])('$name affinity with $unobservedOfKey requests of its key', scenario => {
  const endpoints = [0, 1, 2, 3].map(index => simulatedEndpoint(index, 12));
  const options = {
    now: 0,
    excluded: new Set<string>(),
    dataCentre: 'elsewhere',
    affinityKey: 'session',
  };
  const choice = balanceEndpoints(endpoints, {
    ...options,
    ...scenario,
    unobserved: 12,
    localShare: 0,
    random: () => 0,
  });
  expect(choice?.outcome).toBe(scenario.outcome);
  if (scenario.outcome === 'affinity')
    expect(choice?.endpoint).toBe(chooseEndpoint(endpoints, options));
});

// Guards against a preference for the local data centre that makes it busier: the
// endpoints 0 and 2 are local.
test.each([
  {name: 'half of the requests arrive here', localShare: 0.5, expected: 1},
  {name: 'all requests arrive here', localShare: 1, expected: 0.5},
])('local endpoints are preferred as $name', ({localShare, expected}) => {
  let local = 0;
  for (let step = 0.5; step < 100; step++) {
    const choice = balanceEndpoints(
      [0, 1, 2, 3].map(index => simulatedEndpoint(index, 12)),
      {
        now: 0,
        excluded: new Set(),
        dataCentre: 'zone-a',
        unobserved: 100,
        unobservedOfKey: 0,
        localShare,
        random: () => step / 100,
      },
    );
    if (choice?.outcome === 'local') local++;
  }
  expect(local / 100).toBeCloseTo(expected, 1);
});

// Guards against an estimate that ignores the age of counts, keeps the rate of a load
// that has ended, or needs memory for each key that was ever used.
test('unobserved requests follow rate, hosts and age', () => {
  const clock = new ManualClock();
  const unobserved = new UnobservedRequests({
    clock,
    activeHosts: () => 11,
    countedAt: () => clock.monotonicMilliseconds() - 100,
  });
  for (let sent = 0; sent < 200; sent++) {
    unobserved.record('busy');
    clock.advance(50);
  }
  // 20 requests a second of each of 10 other hosts, for 0.1 s.
  expect(unobserved.of('busy')).toBeGreaterThan(18);
  expect(unobserved.of('busy')).toBeLessThan(22);
  expect(unobserved.of('unknown')).toBe(0);
  expect(unobserved.of('unknown', 220)).toBeCloseTo(10);
  clock.advance(20_000);
  expect(unobserved.of('busy')).toBeLessThan(0.01);
  for (let key = 0; key < 5000; key++) unobserved.record(`key-${key}`);
  expect(unobserved.of('key-0')).toBe(0);
  expect(unobserved.of('key-4999')).toBeGreaterThan(0);
});
