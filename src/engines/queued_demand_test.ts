import {expect, test} from 'vitest';
import {type EngineSnapshot, type ModelDemand, planPlacement} from './mod.ts';

const POOL = {
  slots: 10,
  weightsMegabytes: 200,
  adapterCapacity: 8,
  loadsPerSecond: 3,
  models: new Map(
    ['full', 'other'].map(name => [
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

function engine(id: string, model: string, requests: number): EngineSnapshot {
  return {
    id,
    models: new Set([model]),
    adapters: new Set(),
    loading: undefined,
    busyMilliseconds: 0,
    inMemory: new Set(),
    onDisk: new Set(['full', 'other']),
    inFlight: new Map([[model, requests]]),
    recentlyLoaded: new Set(),
    loadAges: new Map(),
    requestsPerSecond: undefined,
  };
}

const demand = (queued?: ModelDemand['queued']): ModelDemand => ({
  waiting: 0,
  timely: 0,
  waitingForAdapters: 0,
  returning: 0,
  priority: 5,
  waitedMilliseconds: 0,
  unmetMilliseconds: 0,
  ratePerSecond: 0.3,
  ...(queued === undefined ? {} : {queued}),
});

// Guards against engines that stay idle while requests wait for room on others, against
// replicas that a short burst or a full engine would cause, and against a change of
// what is planned without such requests.
test.each([
  {name: 'none waits', queued: undefined, others: 0, loads: []},
  {
    name: 'some have waited for long, another engine is idle',
    queued: {requests: 4, waitedMilliseconds: 1500},
    others: 3,
    loads: ['idle'],
  },
  {
    name: 'some have waited for a moment',
    queued: {requests: 4, waitedMilliseconds: 200},
    others: 3,
    loads: [],
  },
  {
    name: 'no engine has idle slots',
    queued: {requests: 4, waitedMilliseconds: 1500},
    others: 10,
    loads: [],
  },
])('a replica for requests that wait for room: $name', input => {
  const loads = planPlacement({
    pool: POOL,
    engines: [
      engine('holder', 'full', 10),
      engine('busy', 'other', 10),
      engine('idle', 'other', input.others),
    ],
    demand: new Map([['full', demand(input.queued)]]),
    remoteLoadsAllowed: 0,
    remoteLoadsRunning: 0,
    preloadsAllowed: 0,
  });
  expect(loads.map(({engineId}) => engineId)).toEqual(input.loads);
});
