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
        priority: 3,
        waitedMilliseconds: 0,
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
    readyIn: Record<string, number>;
    /** Whether m39, which nobody waits for, is unavailable. */
    isUnavailable: boolean;
  }
  const cases: Case[] = [
    {
      name: 'a model on the disk of a free engine',
      engines: [engine('e1', {onDisk: new Set(['m1'])})],
      awaited: ['m1'],
      remote: 2,
      readyIn: {m1: DISK_MILLISECONDS},
      isUnavailable: false,
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
      isUnavailable: false,
    },
    {
      name: 'a model that is being loaded',
      engines: [engine('e1', {loading: 'm1', busyMilliseconds: 300})],
      awaited: ['m1'],
      remote: 0,
      readyIn: {m1: 300},
      isUnavailable: true,
    },
    {
      name: 'models without copies, of which the store may load one',
      engines: [engine('e1', {}), engine('e2', {})],
      awaited: ['m1', 'm2', 'm3'],
      remote: 1,
      readyIn: {m1: REMOTE_MILLISECONDS},
      isUnavailable: true,
    },
    {
      name: 'a model that is loaded',
      engines: [engine('e1', {models: new Set(['m1', 'm39'])})],
      awaited: ['m1'],
      remote: 0,
      readyIn: {},
      isUnavailable: false,
    },
  ];
  test.each(cases)('$name', entry => {
    const forecast = forecastLoads({
      pool: POOL,
      engines: entry.engines,
      demand: waitingFor(entry.awaited),
      remoteLoadsAllowed: entry.remote,
    });
    expect(Object.fromEntries(forecast.readyIn)).toEqual(entry.readyIn);
    expect(forecast.unavailable.has('m39')).toBe(entry.isUnavailable);
  });

  // Requests for 40 rare models without copies, of which the store can load two at
  // a time. Holding all of them until their callers give up helps nobody.
  test('all but the loads that the store can take are refused at once', () => {
    const forecast = forecastLoads({
      pool: POOL,
      engines: ['e1', 'e2', 'e3'].map(id => engine(id, {})),
      demand: waitingFor(MODELS),
      remoteLoadsAllowed: 2,
    });
    expect(forecast.readyIn.size).toBe(2);
    expect(forecast.unavailable.size).toBe(MODELS.length - 2);
  });
});
