import fc from 'fast-check';
import {afterEach, expect, test, vi} from 'vitest';
import {ReplicaRouter} from '../routing/mod.ts';
import {ManualLeases, PlacementFleet} from '../testing/placement_fleet.ts';
import {PlacementOracle} from '../testing/placement_oracle.ts';
import {DrainTracker} from './_drain_tracker.ts';
import {TakeoverRecovery} from './_takeover_recovery.ts';
import {CostPolicy} from './cost_policy.ts';
import type {PlacementPolicy} from './placement_policy.ts';
import {PoolControllers} from './pool_controllers.ts';
import type {PoolView} from './pool_view.ts';
import {
  FUZZ_TIME_LIMIT_MILLISECONDS,
  fuzzParameters,
} from '../testing/fuzz_parameters.ts';

const HOSTS = ['host-1', 'host-2', 'host-3'];
const ENGINES = ['engine-1', 'engine-2', 'engine-3'];
const MODELS = ['model-1', 'model-2', 'model-3', 'model-4'];
const TARGETS = [...MODELS, 'adapter-1', 'adapter-2'];

const {seed: SEED, runs: RUNS} = fuzzParameters(60);

type Step =
  | {kind: 'request'; host: string; target: string; milliseconds: number}
  | {kind: 'release'; count: number}
  | {kind: 'advance'; milliseconds: number}
  | {kind: 'engine_killed' | 'engine_restarted'; engine: string}
  | {kind: 'engine_silent'; engine: string; silent: boolean}
  | {kind: 'answers_lost'; engine: string}
  | {kind: 'orders_held'; engine: string; held: boolean}
  | {kind: 'load_fails'; target: string; fails: boolean}
  | {kind: 'table'; down: boolean}
  | {kind: 'store'; speed: number}
  | {kind: 'handed_over'; host: string}
  | {kind: 'paused_and_taken_over'; host: string; milliseconds: number}
  | {
      kind: 'order_on_the_way';
      host: string;
      target: string;
      pauses: boolean;
      milliseconds: number;
    };

const engine = fc.constantFrom(...ENGINES);
const host = fc.constantFrom(...HOSTS);
const target = fc.constantFrom(...TARGETS);

/** Time from a take-over until the previous controller's host resumes. */
const pause = fc.constantFrom(100, 500, 6000);

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('request' as const),
      host,
      target,
      milliseconds: fc.integer({min: 100, max: 15_000}),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      milliseconds: fc.constantFrom(20, 100, 400, 1500, 4000),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('release' as const),
      count: fc.integer({min: 1, max: 4}),
    }),
  },
  fc.record({
    kind: fc.constantFrom(
      'engine_killed' as const,
      'engine_restarted' as const,
    ),
    engine,
  }),
  fc.record({
    kind: fc.constant('engine_silent' as const),
    engine,
    silent: fc.boolean(),
  }),
  fc.record({kind: fc.constant('answers_lost' as const), engine}),
  fc.record({
    kind: fc.constant('orders_held' as const),
    engine,
    held: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant('load_fails' as const),
    target,
    fails: fc.boolean(),
  }),
  fc.record({kind: fc.constant('table' as const), down: fc.boolean()}),
  fc.record({
    kind: fc.constant('store' as const),
    speed: fc.constantFrom(0.1, 1),
  }),
  fc.record({kind: fc.constant('handed_over' as const), host}),
  fc.record({
    kind: fc.constant('paused_and_taken_over' as const),
    host,
    milliseconds: pause,
  }),
  fc.record({
    kind: fc.constant('order_on_the_way' as const),
    host,
    target,
    pauses: fc.boolean(),
    milliseconds: pause,
  }),
);

/** Time that the previous controller has been paused at a take-over. */
const VIEW_MILLISECONDS = 3000;

async function perform(
  fleet: PlacementFleet,
  oracle: PlacementOracle,
  current: Step,
): Promise<void> {
  switch (current.kind) {
    case 'request':
      oracle.request(current.host, current.target, current.milliseconds);
      break;
    case 'release':
      oracle.release(current.count);
      break;
    case 'advance':
      await oracle.advance(current.milliseconds);
      break;
    case 'engine_killed':
      fleet.engines.get(current.engine)!.kill();
      oracle.engineDied(current.engine);
      break;
    case 'engine_restarted':
      fleet.engines.get(current.engine)!.restart();
      oracle.engineDied(current.engine);
      break;
    case 'engine_silent':
      fleet.engines.get(current.engine)!.silent = current.silent;
      break;
    case 'answers_lost':
      fleet.engines.get(current.engine)!.loseAnswers = 1;
      break;
    case 'orders_held':
      fleet.engines.get(current.engine)!.holdsOrders = current.held;
      break;
    case 'load_fails':
      for (const {failing} of fleet.engines.values()) {
        if (current.fails) failing.add(current.target);
        else failing.delete(current.target);
      }
      break;
    case 'table':
      fleet.table.down = current.down;
      break;
    case 'store':
      fleet.store.setSpeed(current.speed);
      break;
    case 'handed_over':
      // Leases can change only while the table is available.
      if (!fleet.table.down) fleet.giveTo(current.host);
      break;
    case 'paused_and_taken_over':
      await takeOver(fleet, oracle, current);
      break;
    case 'order_on_the_way':
      await takeOverDuringOrder(fleet, oracle, current);
      break;
  }
}

async function takeOver(
  fleet: PlacementFleet,
  oracle: PlacementOracle,
  {host: next, milliseconds}: {host: string; milliseconds: number},
): Promise<void> {
  const former = [...fleet.hosts.values()].find(
    ({leases}) => leases.acting !== undefined,
  );
  if (former === undefined || former.hostId === next) return;
  if (fleet.table.down) return;
  former.clock.pause();
  await oracle.advance(VIEW_MILLISECONDS);
  fleet.giveTo(next);
  await oracle.advance(milliseconds);
  former.clock.resume();
}

/** Returns a policy that decides on a modified view. */
function policyWithView(change: (view: PoolView) => PoolView): PlacementPolicy {
  const policy = new CostPolicy();
  return {plan: view => policy.plan(change(view))};
}

/**
 * Returns a policy with a host-specific order of engines, so that two
 * controllers decide differently.
 */
function policyWithRotatedEngines(hostId: string): PlacementPolicy {
  const shift = HOSTS.indexOf(hostId);
  return policyWithView(view => ({
    ...view,
    engines: [...view.engines.slice(shift), ...view.engines.slice(0, shift)],
  }));
}

/**
 * Takes over while an order waits in a socket's buffer, or while the previous
 * controller is paused between recording an order and sending it.
 */
async function takeOverDuringOrder(
  fleet: PlacementFleet,
  oracle: PlacementOracle,
  current: Step & {kind: 'order_on_the_way'},
): Promise<void> {
  if (fleet.table.down) return;
  const engines = [...fleet.engines.values()];
  if (current.pauses) fleet.tableMilliseconds = 100;
  else for (const each of engines) each.holdsOrders = true;
  oracle.request(current.host, current.target, 10_000);
  await oracle.advance(60);
  fleet.tableMilliseconds = 1;
  if (current.pauses) {
    await takeOver(fleet, oracle, current);
  } else {
    fleet.giveTo(current.host);
  }
  for (const each of engines) each.holdsOrders = false;
}

interface FuzzOptions {
  policy?: PlacementPolicy;
  runs: number;
}

async function fuzz({policy, runs}: FuzzOptions) {
  const property = fc.asyncProperty(
    fc.array(step, {minLength: 10, maxLength: 40}),
    fc.boolean(),
    async (steps, checksFencing) => {
      const fleet = new PlacementFleet({
        hosts: HOSTS.length,
        engines: ENGINES.map(name => ({
          name,
          memoryMegabytes: 21_000,
          refusesOvercommit: false,
          checksFencing,
        })),
        models: MODELS.map((name, index) => ({
          name,
          memoryMegabytes: 6000 + 3000 * index,
          maximumReplicas: 1 + (index % 2),
          loadMilliseconds: {memory: 100, disk: 500, remote: 2000},
        })),
        adapters: [
          {name: 'adapter-1', baseModel: 'model-1'},
          {name: 'adapter-2', baseModel: 'model-2'},
        ],
        contracts: [{team: 'team-1', maximumReplicas: 2}],
        policyOf: hostId => policy ?? policyWithRotatedEngines(hostId),
      });
      const oracle = new PlacementOracle(fleet);
      await fleet.start();
      for (const current of steps) await perform(fleet, oracle, current);
      await oracle.advance(3000);
    },
  );
  return fc.check(property, {
    seed: SEED,
    numRuns: runs,
    endOnFailure: true,
  });
}

afterEach(() => {
  vi.restoreAllMocks();
});

// Guards against sequences of faults that violate invariant I1, I2, I3 or I10.
test(
  'placement keeps its rules under random faults',
  async () => {
    const details = await fuzz({runs: RUNS});
    expect(fc.defaultReportMessage(details)).toBeUndefined();
  },
  FUZZ_TIME_LIMIT_MILLISECONDS,
);

// Guards against an oracle that misses violations: the fuzzer must detect each
// injected fault.
test.each<[string, () => PlacementPolicy | undefined]>([
  [
    'more replicas than the limit are loaded',
    () =>
      policyWithView(view => ({
        ...view,
        targets: new Map(
          [...view.targets].map(([name, known]) => [
            name,
            {...known, replicaLimit: known.replicaLimit + 1},
          ]),
        ),
        engines: view.engines.map(known => ({
          ...known,
          replicas: known.replicas.filter(({state}) => state !== 'loading'),
        })),
      })),
  ],
  [
    'memory of loads in progress is not counted',
    () =>
      policyWithView(view => ({
        ...view,
        engines: view.engines.map(known => ({
          ...known,
          usedMegabytes: known.replicas
            .filter(({state}) => state !== 'loading')
            .reduce((sum, replica) => sum + replica.memoryMegabytes, 0),
        })),
      })),
  ],
  [
    'orders with an unknown answer are not counted',
    () =>
      policyWithView(view => ({
        ...view,
        engines: view.engines.map(known => ({
          ...known,
          replicas: known.replicas.filter(({state}) => state !== 'unresolved'),
        })),
      })),
  ],
  [
    'a new controller does not wait for the orders of earlier epochs',
    () => {
      vi.spyOn(
        TakeoverRecovery.prototype,
        'pendingReason',
        'get',
      ).mockReturnValue(undefined);
      vi.spyOn(TakeoverRecovery.prototype, 'readIntents').mockResolvedValue();
      return undefined;
    },
  ],
  [
    'a controller continues after a take-over',
    () => {
      const former = new Map<ManualLeases, number>();
      vi.spyOn(ManualLeases.prototype, 'actingEpoch').mockImplementation(
        function (this: ManualLeases) {
          const epoch = this.acting ?? former.get(this);
          if (epoch !== undefined) former.set(this, epoch);
          return epoch;
        },
      );
      const prototype = PoolControllers.prototype as unknown as {
        stopWithoutLease: () => Promise<void>;
      };
      vi.spyOn(prototype, 'stopWithoutLease').mockResolvedValue();
      return undefined;
    },
  ],
  [
    'an unload does not wait until all hosts have released the replica',
    () => {
      vi.spyOn(DrainTracker.prototype, 'pendingHosts').mockReturnValue([]);
      return undefined;
    },
  ],
  [
    'waiting requests are not refused at their deadline',
    () => {
      const prototype = ReplicaRouter.prototype as unknown as {
        refuse: () => void;
      };
      vi.spyOn(prototype, 'refuse').mockReturnValue();
      return undefined;
    },
  ],
])(
  'the fuzzer detects the fault: %s',
  async (_name, mutate) => {
    const policy = mutate();
    const details = await fuzz({
      runs: 60,
      ...(policy === undefined ? {} : {policy}),
    });
    expect(details.failed).toBe(true);
  },
  120_000,
);
