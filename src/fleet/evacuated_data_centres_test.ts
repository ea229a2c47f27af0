import {expect, test} from 'vitest';
import type {EndpointRecord} from '../deployment/mod.ts';
import {Metrics} from '../observability/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {EndpointRegistry, EvacuatedDataCentres} from './mod.ts';

function record(id: string, dataCentre: string): EndpointRecord {
  return {
    ...{id, dataCentre, rowVersion: 1, service: 'plain', slots: 1},
    softwareVersion: 'v1',
    ...{address: '127.0.0.1:1', state: 'ready', startedAt: 1},
    ...{
      leavesInMilliseconds: undefined,
      coldMilliseconds: 0,
      models: [],
      inMemory: [],
      onDisk: [],
    },
  };
}

const SOURCE = {origin: 'store', ageMilliseconds: 3};
const KNOWN = new Map([['a1', record('a1', 'zone-a')]]);

function create() {
  const events: string[] = [];
  const logger = {
    event: (name: string, fields: Readonly<Record<string, unknown>> = {}) => {
      if (name.startsWith('endpoint')) return;
      events.push(
        [name, fields['dataCentre'], fields['reason']].join(' ').trim(),
      );
    },
  };
  const endpoints = new EndpointRegistry({
    ...{clock: new ManualClock(), logger, maximumConnections: () => 1},
    storeRegainedAt: () => Number.NEGATIVE_INFINITY,
  });
  const metrics = new Metrics();
  const evacuations = new EvacuatedDataCentres({logger, metrics, endpoints});
  return {
    ...{endpoints, events, metrics},
    know: () => endpoints.applySnapshot(KNOWN),
    snapshot: (...names: string[]) =>
      evacuations.applySnapshot(new Set(names), SOURCE),
    change: (name: string, isEvacuated: boolean) =>
      evacuations.applyChanges(new Map([[name, isEvacuated]]), SOURCE),
  };
}

type Host = ReturnType<typeof create>;

interface Case {
  name: string;
  steps: (host: Host) => void;
  events: string[];
  /** Value of the gauge. */
  inEffect: number;
  usable: number;
}

const EVACUATED = 'dataCentreEvacuated zone-a';
const RETURNED = 'dataCentreReturned zone-a';

const CASES: Case[] = [
  {
    name: 'a known data centre',
    steps: ({know, change}) => void [know(), change('zone-a', true)],
    ...{events: [EVACUATED], inEffect: 1, usable: 0},
  },
  {
    name: 'a data centre whose endpoints are read later',
    steps: ({know, snapshot}) => void [snapshot('zone-a'), know()],
    ...{events: [EVACUATED], inEffect: 1, usable: 0},
  },
  {
    name: 'a data centre that returns by a change',
    steps: ({know, snapshot, change}) =>
      void [know(), snapshot('zone-a'), change('zone-a', false)],
    ...{events: [EVACUATED, RETURNED], inEffect: 0, usable: 1},
  },
  {
    name: 'a data centre that a later copy of the table lacks',
    steps: ({know, snapshot}) =>
      void [know(), snapshot('zone-a'), snapshot('zone-a'), snapshot()],
    ...{events: [EVACUATED, RETURNED], inEffect: 0, usable: 1},
  },
  {
    name: 'an unknown data centre',
    steps: ({know, change}) => void [know(), change('zone-x', true)],
    events: ['evacuationUnchanged zone-x unknown_data_centre'],
    ...{inEffect: 0, usable: 1},
  },
  {
    name: 'a data centre whose first endpoint registers later',
    steps: ({endpoints, know, change}) => {
      endpoints.applySnapshot(new Map());
      change('zone-a', true);
      know();
    },
    events: ['evacuationUnchanged zone-a unknown_data_centre', EVACUATED],
    ...{inEffect: 1, usable: 0},
  },
  {
    name: 'a data centre that is evacuated twice',
    steps: ({know, change}) =>
      void [know(), change('zone-a', true), change('zone-a', true)],
    events: [EVACUATED, 'evacuationUnchanged zone-a already_evacuated'],
    ...{inEffect: 1, usable: 0},
  },
  {
    name: 'a data centre that was not evacuated',
    steps: ({know, change}) => void [know(), change('zone-a', false)],
    events: ['evacuationUnchanged zone-a not_evacuated'],
    ...{inEffect: 0, usable: 1},
  },
];

// Guards against evacuations that are not applied or that operators cannot observe.
test.each(CASES)('evacuates $name', async entry => {
  const host = create();
  entry.steps(host);
  expect(host.events).toEqual(entry.events);
  expect(host.endpoints.usable('plain').length).toBe(entry.usable);
  expect(await host.metrics.render()).toContain(
    `limpetdale_evacuated_data_centres ${entry.inEffect}`,
  );
});

// Guards against requests that go on to wait for an endpoint that they may not use.
test('tells the listeners of the endpoints at once', () => {
  const {endpoints, know, change} = create();
  know();
  const usable: number[] = [];
  endpoints.onChange(() => usable.push(endpoints.usable('plain').length));
  change('zone-a', true);
  change('zone-a', true);
  change('zone-a', false);
  expect(usable).toEqual([0, 1]);
});
