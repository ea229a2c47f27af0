import {describe, expect, test} from 'vitest';
import type {EnginePoolConfiguration} from '../deployment/mod.ts';
import {type EngineSnapshot, forecastLoads, type ModelDemand} from './mod.ts';

const DISK_MILLISECONDS = 800;
const REMOTE_MILLISECONDS = 7800;
const MODELS = Array.from({length: 40}, (_unused, index) => `m${index}`);

const POOL: EnginePoolConfiguration = {
  slots: 12,
  weightsMegabytes: 200,
  adapterCapacity: 8,
  loadsPerSecond: 4,
  models: new Map(
    MODELS.map(name => [
      name,
      {
        name,
        weightsMegabytes: 60,
        adapterMegabytes: 1,
        remoteLoadMilliseconds: REMOTE_MILLISECONDS,
        diskLoadMilliseconds: DISK_MILLISECONDS,
        memoryLoadMilliseconds: 400,
      },
    ]),
  ),
};

function engine(id: string, more: Partial<EngineSnapshot>): EngineSnapshot {
  return {
    id,
    models: new Set(),
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

function waitingFor(names: readonly string[]): Map<string, ModelDemand> {
  return new Map(
    names.map(name => [
      name,
      {
        waiting: 1,
        timely: 1,
        waitingForAdapters: 0,
        returning: 0,
        priority: 3,
        waitedMilliseconds: 0,
        unmetMilliseconds: 0,
        ratePerSecond: 0.1,
      },
    ]),
  );
}

describe('forecastLoads', () => {
  interface Case {
    name: string;
    engines: EngineSnapshot[];
    awaited: string[];
    remote: number;
    /** Milliseconds until the loads from the weight store in progress end. */
    running?: number[];
    readyIn: Record<string, number>;
    /** When m39, which nobody waits for, can be ready; undefined if it has a copy. */
    otherReadyIn: number | undefined;
  }
  const cases: Case[] = [
    {
      name: 'a model on the disk of a free engine',
      engines: [engine('e1', {onDisk: new Set(['m1'])})],
      awaited: ['m1'],
      remote: 2,
      readyIn: {m1: DISK_MILLISECONDS},
      otherReadyIn: REMOTE_MILLISECONDS,
    },
    {
      name: 'two models on the disk of one busy engine',
      engines: [
        engine('e1', {onDisk: new Set(['m1', 'm2']), busyMilliseconds: 500}),
        engine('e2', {}),
      ],
      awaited: ['m1', 'm2'],
      remote: 2,
      readyIn: {m1: 1300, m2: 2100},
      otherReadyIn: REMOTE_MILLISECONDS,
    },
    {
      name: 'a model that is being loaded',
      engines: [engine('e1', {loading: 'm1', busyMilliseconds: 300})],
      awaited: ['m1'],
      remote: 0,
      running: [300],
      readyIn: {m1: 300},
      otherReadyIn: 300 + REMOTE_MILLISECONDS,
    },
    {
      name: 'models without copies, which the store loads one after the other',
      engines: [engine('e1', {}), engine('e2', {})],
      awaited: ['m1', 'm2'],
      remote: 1,
      readyIn: {m1: REMOTE_MILLISECONDS, m2: 2 * REMOTE_MILLISECONDS},
      otherReadyIn: 3 * REMOTE_MILLISECONDS,
    },
    {
      name: 'a model that is loaded',
      engines: [engine('e1', {models: new Set(['m1', 'm39'])})],
      awaited: ['m1'],
      remote: 1,
      readyIn: {},
      otherReadyIn: undefined,
    },
  ];
  test.each(cases)('$name', entry => {
    const forecast = forecastLoads({
      pool: POOL,
      engines: entry.engines,
      demand: waitingFor(entry.awaited),
      remoteLoadsAllowed: entry.remote,
      remoteLoadsEndIn: entry.running ?? [],
    });
    expect(Object.fromEntries(forecast.readyIn)).toEqual(entry.readyIn);
    const otherReadyIn = forecast.remoteOnly.has('m39')
      ? forecast.remoteReadyIn
      : undefined;
    expect(otherReadyIn).toBe(entry.otherReadyIn);
  });

  // Requests for 40 rare models without copies, of which the store can load two at
  // a time. Holding all of them until their callers give up helps nobody.
  test('most of many rare models are known to be late at once', () => {
    const forecast = forecastLoads({
      pool: POOL,
      engines: ['e1', 'e2', 'e3'].map(id => engine(id, {})),
      demand: waitingFor(MODELS),
      remoteLoadsAllowed: 2,
      remoteLoadsEndIn: [],
    });
    const patience = 10_000;
    const inTime = [...forecast.readyIn.values()].filter(
      ready => ready < patience,
    );
    expect(inTime.length).toBe(2);
  });
});
