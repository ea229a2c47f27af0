import {describe, expect, test} from 'vitest';
import type {EnginePoolConfiguration} from '../deployment/mod.ts';
import type {WaitingTarget} from '../fleet/mod.ts';
import {demandByModel} from './_demand_by_model.ts';
import {type EngineSnapshot, planPlacement, UnmetDemand} from './mod.ts';

const ROUND_MILLISECONDS = 150;
const LOAD_MILLISECONDS = 750;
const DURATION_MILLISECONDS = 60_000;

/** Places for models on each engine. */
const PLACES = 2;

/** A model's callers come back for a part of this period. */
const RETURN_PERIOD_MILLISECONDS = 6000;
const RETURN_MILLISECONDS = 3000;

interface SimulatedEngine {
  readonly id: string;
  readonly models: Map<string, number>;
  loading: {model: string; readyAt: number} | undefined;
}

interface Case {
  name: string;
  engines: number;
  busyModels: number;
  rareModels: number;
  /** Whether engines have copies of the rare models on their disks. */
  haveCopies: boolean;
}

const CASES: Case[] = [
  {
    name: 'one rare model',
    engines: 2,
    busyModels: 8,
    rareModels: 1,
    haveCopies: true,
  },
  {
    name: 'four rare models',
    engines: 6,
    busyModels: 24,
    rareModels: 4,
    haveCopies: true,
  },
  {
    name: 'rare models without a copy',
    engines: 6,
    busyModels: 24,
    rareModels: 4,
    haveCopies: false,
  },
];

describe('a model whose requests are refused', () => {
  // Guards against models that are asked for through a day and never served: refused
  // requests do not wait, so loads for requests that wait always came first.
  test.each(CASES)('is loaded in the end: $name', entry => {
    const busy = names('busy', entry.busyModels);
    const rare = names('rare', entry.rareModels);
    const pool = poolOf([...busy, ...rare]);
    const engines: SimulatedEngine[] = names('engine', entry.engines).map(
      id => ({id, models: new Map(), loading: undefined}),
    );
    const onDisk = new Set(entry.haveCopies ? [...busy, ...rare] : busy);
    const waitingSince = new Map(busy.map(model => [model, 0]));
    const unmet = new UnmetDemand();
    const served = new Set<string>();
    for (let now = 0; now < DURATION_MILLISECONDS; now += ROUND_MILLISECONDS) {
      for (const engine of engines) {
        const {loading} = engine;
        if (loading === undefined || now < loading.readyAt) continue;
        engine.models.set(loading.model, now);
        engine.loading = undefined;
        if (waitingSince.has(loading.model))
          waitingSince.set(loading.model, now);
        served.add(loading.model);
      }
      const isLoaded = (model: string) =>
        engines.some(({models}) => models.has(model));
      const waiting = [
        ...busy
          .filter(model => !isLoaded(model))
          .map(model => held(model, now - (waitingSince.get(model) ?? now))),
        ...(now % RETURN_PERIOD_MILLISECONDS < RETURN_MILLISECONDS
          ? rare.filter(model => !isLoaded(model)).map(refused)
          : []),
      ];
      const awaited = waiting.map(({target}) => target);
      unmet.update({awaited, isLoaded, now});
      const demand = demandByModel({
        pool,
        waiting,
        rateOf: () => 0.1,
        isLoaded,
        unmetOf: model => unmet.ageOf(model, now),
      });
      const loads = planPlacement({
        pool,
        engines: engines.map(engine => snapshot(engine, onDisk, now)),
        demand,
        remoteLoadsAllowed: 2,
        remoteLoadsRunning: 0,
        preloadsAllowed: 0,
      });
      for (const {engineId, model, evictions} of loads) {
        const engine = engines.find(({id}) => id === engineId)!;
        for (const evicted of evictions) engine.models.delete(evicted);
        engine.loading = {model, readyAt: now + LOAD_MILLISECONDS};
      }
    }
    expect(rare.filter(model => !served.has(model))).toEqual([]);
    expect(busy.filter(model => !served.has(model))).toEqual([]);
  });
});

function names(prefix: string, count: number): readonly string[] {
  return Array.from({length: count}, (_unused, index) => `${prefix}-${index}`);
}

function held(target: string, waitedMilliseconds: number): WaitingTarget {
  return {
    ...{service: 'engines', target, requests: 3, timely: 2, priority: 1},
    isHeld: true,
    isServable: false,
    waitedMilliseconds,
  };
}

function refused(target: string): WaitingTarget {
  return {
    ...{service: 'engines', target, requests: 1, timely: 0, priority: 1},
    isHeld: false,
    isServable: false,
    waitedMilliseconds: 0,
  };
}

function poolOf(models: readonly string[]): EnginePoolConfiguration {
  return {
    slots: 32,
    weightsMegabytes: PLACES * 70,
    adapterCapacity: 8,
    loadsPerSecond: 3,
    models: new Map(
      models.map(name => [
        name,
        {
          name,
          weightsMegabytes: 70,
          adapterMegabytes: 0,
          remoteLoadMilliseconds: 6000,
          diskLoadMilliseconds: LOAD_MILLISECONDS,
          memoryLoadMilliseconds: 600,
        },
      ]),
    ),
  };
}

function snapshot(
  {id, models, loading}: SimulatedEngine,
  onDisk: ReadonlySet<string>,
  now: number,
): EngineSnapshot {
  const ages = new Map([...models].map(([model, at]) => [model, now - at]));
  return {
    id,
    models: new Set(models.keys()),
    adapters: new Set(),
    loading: loading?.model,
    busyMilliseconds: loading === undefined ? 0 : loading.readyAt - now,
    inMemory: new Set(),
    onDisk,
    requestsPerSecond: undefined,
    inFlight: new Map([...models.keys()].map(model => [model, 1])),
    recentlyLoaded: new Set(
      [...ages].filter(([, age]) => age < 600).map(([model]) => model),
    ),
    loadAges: ages,
  };
}
