import {describe, expect, test} from 'vitest';
import type {EnginePoolConfiguration} from '../deployment/mod.ts';
import {
  type ModelDemand,
  type PlacementInput,
  type EngineSnapshot,
  expectedRates,
  planPlacement,
} from './mod.ts';

const MODELS = ['busy', 'rare-1', 'rare-2', 'rare-3', 'rare-4'];

const TERMS: EnginePoolConfiguration = {
  slots: 10,
  weightsMegabytes: 200,
  adapterCapacity: 8,
  loadsPerSecond: 3,
  models: new Map(
    MODELS.map(name => [
      name,
      {
        name,
        weightsMegabytes: 90,
        adapterMegabytes: 1,
        remoteLoadMilliseconds: 6000,
        diskLoadMilliseconds: 800,
        memoryLoadMilliseconds: 500,
      },
    ]),
  ),
};

function engine(
  id: string,
  models: readonly string[],
  more: Partial<EngineSnapshot> = {},
): EngineSnapshot {
  return {
    id,
    models: new Set(models),
    adapters: new Set(),
    loading: undefined,
    busyMilliseconds: 0,
    inMemory: new Set(),
    onDisk: new Set(),
    inFlight: new Map(),
    recentlyLoaded: new Set(),
    loadAges: new Map(),
    requestsPerSecond: undefined,
    ...more,
  };
}

const waiting = (requests = 1): ModelDemand => ({
  waiting: requests,
  timely: requests,
  waitingForAdapters: 0,
  returning: 0,
  priority: 1,
  waitedMilliseconds: 50,
  unmetMilliseconds: 0,
  ratePerSecond: 0.1,
});

const steady = (ratePerSecond: number): ModelDemand => ({
  waiting: 0,
  timely: 0,
  waitingForAdapters: 0,
  returning: 0,
  priority: 9,
  waitedMilliseconds: 0,
  unmetMilliseconds: 0,
  ratePerSecond,
});

interface Case {
  name: string;
  engines: EngineSnapshot[];
  demand: Record<string, ModelDemand>;
  remote?: number;
  running?: number;
  preloads?: number;
  /** Engine, model and evictions of each load. */
  expected: [string, string, string[]][];
}

const CASES: Case[] = [
  {
    name: 'a model is loaded on the engine with the nearest copy',
    engines: [
      engine('e1', ['busy']),
      engine('e2', ['busy'], {onDisk: new Set(['rare-1'])}),
      engine('e3', ['busy'], {inMemory: new Set(['rare-1'])}),
    ],
    demand: {'rare-1': waiting()},
    expected: [['e3', 'rare-1', []]],
  },
  {
    name: 'a short wait for a busy engine is preferred to a long load elsewhere',
    engines: [
      engine('e1', ['busy']),
      engine('e2', ['busy'], {
        onDisk: new Set(['rare-1']),
        busyMilliseconds: 700,
      }),
    ],
    demand: {'rare-1': waiting()},
    expected: [],
  },
  {
    name: 'the last two replicas of a busy model are not evicted',
    engines: [
      engine('e1', ['busy', 'rare-1']),
      engine('e2', ['busy', 'rare-2']),
    ],
    demand: {busy: steady(20), 'rare-3': waiting()},
    expected: [['e1', 'rare-3', ['rare-1']]],
  },
  {
    name: 'a model whose refused callers are expected back is not evicted',
    engines: [engine('e1', ['rare-1', 'rare-2'])],
    demand: {
      'rare-1': {...steady(0.1), returning: 1},
      'rare-2': steady(0.3),
      'rare-3': waiting(),
    },
    expected: [['e1', 'rare-3', ['rare-2']]],
  },
  {
    name: 'nothing is loaded when all models in demand have replicas',
    engines: ['e1', 'e2', 'e3', 'e4'].map((id, index) =>
      engine(id, ['busy', `rare-${index + 1}`]),
    ),
    demand: {
      busy: steady(20),
      'rare-1': steady(0.2),
      'rare-2': steady(0.2),
      'rare-3': steady(0.2),
      'rare-4': steady(0.2),
    },
    expected: [],
  },
  // Callers of a model were refused as long as its engine asked for fewer requests.
  {
    name: 'a model whose engines take too few requests is loaded on another one',
    engines: [
      engine('e1', ['rare-1'], {requestsPerSecond: 1}),
      engine('e4', ['rare-1'], {requestsPerSecond: 4}),
      engine('e2', ['busy'], {onDisk: new Set(['rare-1'])}),
      engine('e3', [], {requestsPerSecond: 1, inMemory: new Set(['rare-1'])}),
    ],
    demand: {'rare-1': {...waiting(), ratePerSecond: 4}},
    expected: [['e2', 'rare-1', []]],
  },
  // The copy of the engine that has loaded the model already is of no use.
  {
    name: 'a model whose engine takes too few requests is loaded from the store',
    engines: [
      engine('e1', ['rare-1'], {
        requestsPerSecond: 1,
        onDisk: new Set(['rare-1']),
      }),
      engine('e2', ['busy']),
    ],
    demand: {'rare-1': {...waiting(), ratePerSecond: 4}},
    expected: [['e2', 'rare-1', []]],
  },
  {
    name: 'a model that no request waits for is not loaded once more',
    engines: [
      engine('e1', ['rare-1'], {requestsPerSecond: 5}),
      engine('e2', ['busy'], {onDisk: new Set(['rare-1'])}),
    ],
    demand: {'rare-1': steady(2)},
    expected: [],
  },
  {
    name: 'a model that requests wait for is never evicted',
    engines: [engine('e1', ['rare-1', 'rare-2'])],
    demand: {
      'rare-1': waiting(),
      'rare-2': waiting(),
      'rare-3': waiting(),
    },
    expected: [],
  },
  {
    name: 'a model without demand is preloaded into free memory',
    engines: [engine('e1', ['busy'])],
    demand: {busy: steady(20)},
    preloads: 1,
    expected: [['e1', 'rare-1', []]],
  },
  {
    name: 'nothing is loaded remotely when the weight store allows no load',
    engines: [engine('e1', ['busy'])],
    demand: {'rare-1': waiting()},
    remote: 0,
    preloads: 1,
    expected: [],
  },
  {
    name: 'a busy model with one replica gets a second one',
    engines: [
      engine('e1', ['busy', 'rare-1']),
      engine('e2', ['rare-2', 'rare-3'], {onDisk: new Set(['busy'])}),
    ],
    demand: {busy: steady(5)},
    expected: [['e2', 'busy', ['rare-2']]],
  },
  {
    name: 'a required replica is loaded from the weight store if necessary',
    engines: [
      engine('e1', ['busy'], {
        inFlight: new Map([['busy', 8]]),
        onDisk: new Set(['busy']),
      }),
      engine('e2', []),
    ],
    demand: {busy: steady(2)},
    expected: [['e2', 'busy', []]],
  },
  {
    // On the recorded day quiet-1 of Kaplama, a model that had just become busy
    // waited 10 s behind single requests of higher priority for rarely used
    // models.
    name: 'a model that has become busy takes precedence over single requests',
    engines: [
      engine('e1', ['rare-3', 'rare-4'], {onDisk: new Set(['busy', 'rare-1'])}),
    ],
    demand: {
      'rare-1': {...waiting(), priority: 0, waitedMilliseconds: 2000},
      busy: {...waiting(3), priority: 1, ratePerSecond: 4},
    },
    expected: [['e1', 'busy', ['rare-3']]],
  },
  {
    // On the recorded day scale-1 of Sheger, loads from the weight store took
    // more than half of the engines' time while requests waited for models that
    // were on disk.
    name: 'few engines load from the weight store while requests wait',
    engines: [
      engine('e1', ['rare-3'], {onDisk: new Set(['rare-1'])}),
      engine('e2', ['rare-4'], {onDisk: new Set(['rare-1'])}),
      engine('e3', ['rare-4'], {onDisk: new Set(['rare-1'])}),
    ],
    demand: {
      'rare-2': {...waiting(3), waitedMilliseconds: 3000},
      'rare-1': waiting(),
    },
    running: 1,
    preloads: 4,
    expected: [['e1', 'rare-1', []]],
  },
  {
    name: 'an engine without copies of awaited models may load from the store',
    engines: [
      engine('e1', ['rare-3'], {onDisk: new Set(['rare-4'])}),
      engine('e2', ['rare-4'], {onDisk: new Set(['rare-1'])}),
      engine('e3', ['rare-4'], {onDisk: new Set(['rare-1'])}),
    ],
    demand: {
      'rare-2': {...waiting(3), waitedMilliseconds: 3000},
      'rare-1': waiting(),
    },
    expected: [
      ['e1', 'rare-2', []],
      ['e2', 'rare-1', []],
    ],
  },
  {
    // On the recorded day scale-1 of Sheger, unloads that waited for running
    // requests took more than half of the engines' time.
    name: 'a model in use is not evicted for a request that has just arrived',
    engines: [
      engine('e1', ['rare-1', 'rare-2'], {
        inFlight: new Map([
          ['rare-1', 1],
          ['rare-2', 1],
        ]),
        onDisk: new Set(['rare-3']),
      }),
    ],
    demand: {'rare-3': waiting()},
    expected: [],
  },
  {
    name: 'a model in use is evicted for a request that has waited long',
    engines: [
      engine('e1', ['rare-1', 'rare-2'], {
        inFlight: new Map([['rare-1', 1]]),
        onDisk: new Set(['rare-3']),
        recentlyLoaded: new Set(['rare-2']),
      }),
    ],
    demand: {'rare-3': {...waiting(), waitedMilliseconds: 3000}},
    expected: [['e1', 'rare-3', ['rare-1']]],
  },
  {
    // On the recorded day quiet-1 of Kaplama (seed 301), an engine took 6 s to
    // load a model from the weight store that another engine had on disk.
    name: 'waiting for an engine with a copy on disk is preferred to a remote load',
    engines: [
      engine('e1', []),
      engine('e2', ['rare-1', 'rare-2'], {
        inFlight: new Map([
          ['rare-1', 1],
          ['rare-2', 1],
        ]),
        onDisk: new Set(['rare-3']),
      }),
    ],
    demand: {'rare-3': {...waiting(), waitedMilliseconds: 500}},
    expected: [],
  },
  {
    name: 'a model is loaded remotely if its copy has been unusable for long',
    engines: [
      engine('e1', []),
      engine('e2', ['rare-1', 'rare-2'], {
        recentlyLoaded: new Set(['rare-1', 'rare-2']),
        onDisk: new Set(['rare-3']),
      }),
    ],
    demand: {'rare-3': {...waiting(), waitedMilliseconds: 4000}},
    expected: [['e1', 'rare-3', []]],
  },
  {
    name: 'a model that was just loaded is not evicted before it is used',
    engines: [
      engine('e1', ['rare-1', 'rare-2'], {
        recentlyLoaded: new Set(['rare-1']),
        onDisk: new Set(['rare-3']),
      }),
    ],
    demand: {'rare-3': waiting()},
    expected: [['e1', 'rare-3', ['rare-2']]],
  },
  {
    name: 'a model that is being loaded is not loaded again',
    engines: [
      engine('e1', ['busy'], {loading: 'rare-1', busyMilliseconds: 500}),
      engine('e2', ['busy']),
    ],
    demand: {'rare-1': waiting()},
    expected: [],
  },
];

describe('planPlacement', () => {
  // Guards against evicting busy models and against loads that do not fit, when
  // many rarely used models are requested beside a few busy ones.
  test.each(CASES)('$name', entry => {
    const loads = planPlacement(inputOf(entry));
    expect(
      loads.map(({engineId, model, evictions}) => [
        engineId,
        model,
        [...evictions],
      ]),
    ).toEqual(entry.expected);
  });

  // On a random simulated day of Sheger (mix, seed 214251560853), a rollout had
  // replaced all engines with empty ones. Only one of them loaded at a time
  // while the others were idle, and most requests were refused.
  test('engines without copies all load from the store while requests wait', () => {
    const engines = ['e1', 'e2', 'e3', 'e4'].map(id => engine(id, []));
    const demand = Object.fromEntries(
      MODELS.slice(1).map(model => [model, waiting()]),
    );
    const loads = planPlacement(
      inputOf({name: '', engines, demand, remote: 4, expected: []}),
    );
    expect(loads.length).toBe(4);
  });

  // Before traffic, rare models are loaded ahead from the weight store. On a played
  // day each of these loads evicted the busiest model, which is on all engines and
  // first in their lists, until none was left when its requests came.
  test('loads ahead of traffic keep replicas of models that are on many engines', () => {
    const engines = ['e1', 'e2', 'e3', 'e4'].map((id, index) =>
      engine(id, ['busy', `rare-${index + 1}`]),
    );
    const rates = expectedRates(engines);
    const demand = Object.fromEntries(
      [...rates].map(([model, rate]) => [model, steady(rate)]),
    );
    const models = new Map(TERMS.models);
    for (const name of ['new-1', 'new-2', 'new-3', 'new-4']) {
      models.set(name, {...TERMS.models.get('busy')!, name});
    }
    const loads = planPlacement({
      ...inputOf({name: '', engines, demand, preloads: 4, expected: []}),
      pool: {...TERMS, models},
    });
    const evicted = loads.flatMap(({evictions}) => evictions);
    expect(loads.length).toBe(4);
    expect(evicted.filter(model => model === 'busy').length).toBe(2);
  });

  // First requests for many rarely used models at once, compared with a
  // baseline policy that loads each from the weight store on the first engine with room.
  test('first requests for many rarely used models use all engines at once', () => {
    const engines = ['e1', 'e2', 'e3', 'e4'].map((id, index) =>
      engine(id, ['busy'], {onDisk: new Set([`rare-${index + 1}`])}),
    );
    const demand = Object.fromEntries(
      MODELS.slice(1).map(model => [model, waiting()]),
    );
    const loads = planPlacement(
      inputOf({name: '', engines, demand, expected: []}),
    );
    const baselineMilliseconds = 4 * 6000;
    const longest = Math.max(...loads.map(load => load.expectedMilliseconds));
    expect(loads.length).toBe(4);
    expect(longest).toBeLessThanOrEqual(baselineMilliseconds / 20);
  });
});

function inputOf(entry: Case): PlacementInput {
  return {
    pool: TERMS,
    engines: entry.engines,
    demand: new Map(Object.entries(entry.demand)),
    remoteLoadsAllowed: entry.remote ?? 4,
    remoteLoadsRunning: entry.running ?? 0,
    preloadsAllowed: entry.preloads ?? 0,
  };
}

describe('a model that has just become busy', () => {
  const IDLE = ['e2', 'e3', 'e4', 'e5', 'e6'];
  const input = (
    more: Partial<PlacementInput>,
    idle: Partial<EngineSnapshot> = {},
  ): PlacementInput => ({
    pool: TERMS,
    engines: [
      engine('e1', ['busy'], {inFlight: new Map([['busy', 10]])}),
      ...IDLE.map(id => engine(id, [], {onDisk: new Set(['busy']), ...idle})),
    ],
    demand: new Map([['busy', steady(8)]]),
    remoteLoadsAllowed: 0,
    remoteLoadsRunning: 0,
    preloadsAllowed: 0,
    ...more,
  });

  // Guards against a model whose replicas are added one load time after the other while
  // its only engine is full: ten requests at 3.5 for each replica need three engines.
  test.each([
    {name: 'one at a time', loadsReplicasTogether: false, expected: 1},
    {name: 'all at once', loadsReplicasTogether: true, expected: 2},
  ])(
    'gets the replicas it lacks $name',
    ({loadsReplicasTogether, expected}) => {
      const loads = planPlacement(input({loadsReplicasTogether}));
      expect(loads.map(({model}) => model)).toEqual(
        Array.from({length: expected}, () => 'busy'),
      );
      expect(new Set(loads.map(({engineId}) => engineId)).size).toBe(expected);
    },
  );

  // Guards against more replicas than needed, planned in each round of a load.
  test('counts the replicas that are being loaded', () => {
    const plan = input({loadsReplicasTogether: true});
    const engines = plan.engines.map(snapshot =>
      snapshot.id === 'e2' || snapshot.id === 'e3'
        ? {...snapshot, loading: 'busy', busyMilliseconds: 500}
        : snapshot,
    );
    expect(planPlacement({...plan, engines})).toEqual([]);
  });
});
