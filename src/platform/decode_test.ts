import type {IncomingMessage} from 'node:http';
import {describe, expect, test} from 'vitest';
import {platformConfiguration} from '../testing/platform_deployment.ts';
import {createPlatform} from './create_platform.ts';
import {decodeConfiguration} from './decode_configuration.ts';
import {decodeEndpoint} from './decode_endpoint.ts';
import {PLATFORM_WIRE_FORMAT} from './platform_wire_format.ts';

const ROW = {
  service: 'engines',
  version: 'r7',
  address: '10.0.0.1:80',
  zone: 'zone-a',
  slots: 4,
  state: 'ready',
  models: [{name: 'model-a', version: 1, adapters: ['a1']}],
  available: {in_memory: ['model-b'], on_disk: ['model-c']},
  sequence: 9,
  born: 123,
};

/** A list within 100,000 lists, as another writer may leave it. */
function nestedList(): unknown {
  const depth = 100_000;
  return JSON.parse('['.repeat(depth) + ']'.repeat(depth)) as unknown;
}

describe('decodeEndpoint', () => {
  // Other writers may leave invalid rows in the table; these must be ignored.
  const unusableRows = [
    {name: 'no JSON object', value: 'text'},
    {name: 'no value', value: undefined},
    {name: 'an unknown state', value: {...ROW, state: 'warming'}},
    {name: 'a state of the wrong type', value: {...ROW, state: 1}},
    {name: 'no address', value: {...ROW, address: undefined}},
    {name: 'an address of the wrong type', value: {...ROW, address: 80}},
    {name: 'an address without a port', value: {...ROW, address: '10.0.0.1'}},
    {name: 'no service', value: {...ROW, service: undefined}},
    {name: 'a port out of range', value: {...ROW, address: '10.0.0.1:99999'}},
    {name: 'port 0', value: {...ROW, address: '10.0.0.1:0'}},
    {name: 'an address out of range', value: {...ROW, address: '300.0.0.1:8'}},
    {name: 'too many places', value: {...ROW, slots: 1e15}},
    {name: 'a fraction of a place', value: {...ROW, slots: 0.5}},
    {name: 'fewer than no places', value: {...ROW, slots: -4}},
    {name: 'a start beyond all numbers', value: {...ROW, born: Infinity}},
    {name: 'a start that is no whole number', value: {...ROW, born: 2 ** 60}},
    {name: 'nested lists for a start', value: {...ROW, born: nestedList()}},
  ];
  test.each(unusableRows)('a row with $name is ignored', ({value}) => {
    expect(decodeEndpoint('e', 1, value)).toBeUndefined();
  });

  test('decodes all fields of a row', () => {
    expect(decodeEndpoint('e', 7, ROW)).toEqual({
      id: 'e',
      rowVersion: 7,
      service: 'engines',
      softwareVersion: 'r7',
      address: '10.0.0.1:80',
      dataCentre: 'zone-a',
      slots: 4,
      state: 'ready',
      startedAt: 123,
      leavesInMilliseconds: undefined,
      coldMilliseconds: 0,
      models: ROW.models,
      inMemory: ['model-b'],
      onDisk: ['model-c'],
    });
  });

  test('decodes the remaining time of a draining endpoint', () => {
    const record = decodeEndpoint('e', 1, {
      ...ROW,
      state: 'draining',
      remaining_ms: 1900,
    });
    expect(record?.state).toBe('leaving');
    expect(record?.leavesInMilliseconds).toBe(1900);
  });
});

// Guards against other rows of the table, or one without a name, that would evacuate
// all endpoints without a data centre.
test.each([
  ['evacuate/zone-a', 'zone-a'],
  ['evacuate/zone/a', 'zone/a'],
  ['evacuate/', undefined],
  ['evacuate', undefined],
  ['config', undefined],
])('the row "%s" evacuates %s', (key, dataCentre) => {
  const platform = createPlatform({address: '', timeoutMilliseconds: 100});
  expect(platform.decodeEvacuation(key)).toBe(dataCentre);
});

// A wrong value must neither make an endpoint unusable nor limit it for hours.
const COLD_VALUES: [unknown, number][] = [
  [undefined, 0],
  [2900, 2900],
  [-1, 0],
  ['2900', 0],
  [1e300, 600_000],
  [Infinity, 600_000],
  [NaN, 0],
];

describe('cold phases', () => {
  test.each(COLD_VALUES)('a row with %s: %d ms', (value, expected) => {
    const record = decodeEndpoint('e', 1, {...ROW, cold_remaining_ms: value});
    expect(record?.coldMilliseconds).toBe(expected);
  });

  const headers: [string, number | undefined][] = [
    ['0', 0],
    [' 2900 ', 2900],
    ['-5', undefined],
    ['soon', undefined],
    ['9'.repeat(400), 600_000],
  ];
  // A negative or unreadable header must not end a known phase.
  test.each(headers)('a response with Cold-Ms %s', (value, expected) => {
    const response = {statusCode: 200, headers: {'cold-ms': value}};
    const notice = PLATFORM_WIRE_FORMAT.readNotice(
      response as unknown as IncomingMessage,
    );
    expect(notice.coldMilliseconds).toBe(expected);
  });

  const terms: [unknown, unknown, number[] | undefined][] = [
    [3, 14, [3000, 14]],
    [undefined, undefined, undefined],
    [0, 14, undefined],
    [3, 0, undefined],
    [3, -14, undefined],
    [-3, 14, undefined],
    ['3', '14', undefined],
    [1e300, 14, [600_000, 14]],
    [3, Infinity, undefined],
  ];
  // An unreadable value must not limit a service to a rate of 0 or NaN.
  test.each(terms)('a service with %s s and %s/s', (start, rate, expected) => {
    const service = {name: 's', cold_start_s: start, cold_per_s: rate};
    const document = {version: 1, services: [service]};
    const cold = decodeConfiguration(document)?.services.get('s')?.coldStart;
    expect(cold && [cold.durationMilliseconds, cold.requestsPerSecond]).toEqual(
      expected,
    );
  });
});

describe('decodeConfiguration', () => {
  test.each([undefined, 'text', {}, {version: '7'}])(
    '%j is not a configuration',
    value => {
      expect(decodeConfiguration(value)).toBeUndefined();
    },
  );

  test('decodes routes, services and teams', () => {
    const configuration = decodeConfiguration(platformConfiguration());
    const route = configuration?.routes.find(({name}) => name === 'draft');
    expect(route).toMatchObject({
      kind: 'streaming',
      resumable: true,
      maximumAttempts: 2,
      targets: [{service: 'engines', weight: 1}],
      callerTimeoutMilliseconds: 2000,
    });
    const engines = configuration?.services.get('engines')?.engines;
    expect(engines?.models.get('model-a')).toMatchObject({
      remoteLoadMilliseconds: 50,
      diskLoadMilliseconds: 20,
      memoryLoadMilliseconds: 10,
    });
    expect(configuration?.teams?.[0]?.defaultTokens).toBe(10);
  });

  test('treats a route of an unknown kind as non-idempotent', () => {
    const document = platformConfiguration();
    const routes = [{...document.routes[0], kind: 'new'}];
    const configuration = decodeConfiguration({...document, routes});
    expect(configuration?.routes[0]?.kind).toBe('non_idempotent');
  });
});
