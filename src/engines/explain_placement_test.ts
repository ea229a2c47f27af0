import {expect, test} from 'vitest';
import {UnobservedRequests} from '../fleet/mod.ts';
import {Metrics, SILENT_LOGGER} from '../observability/mod.ts';
import {engineRecord} from '../testing/managed_pool.ts';
import {type RoutedFeatures, RoutedHost} from '../testing/routed_requests.ts';
import {EndpointBalancer} from './endpoint_balancer.ts';

const MODEL = {name: 'model-a', version: 1, adapters: []};
const ENGINES = [
  engineRecord({id: 'engine-a', models: [MODEL]}),
  engineRecord({id: 'engine-b', dataCentre: 'zone-b', models: [MODEL]}),
];

const metrics = new Metrics();
const common = {logger: SILENT_LOGGER, metrics};

const even: RoutedFeatures = clock => ({
  balancer: new EndpointBalancer({
    ...common,
    unobserved: new UnobservedRequests({
      clock,
      activeHosts: () => 10,
      countedAt: () => -100,
    }),
    localShare: () => 0.8,
    random: () => 0,
  }),
});

const ordered: RoutedFeatures = () => ({
  admission: {
    ...{...common, hostId: 'host-1'},
    ...{evenShare: () => 0.5, slotShare: () => 1},
  },
});

interface Case {
  name: string;
  features?: RoutedFeatures;
  prepare?: (host: RoutedHost) => unknown;
  outcome: object;
  /** Time after which a request gets its permit. @default 0 */
  waitsMilliseconds?: number;
  /** Use of engine-a and engine-b: a probability or why not. */
  uses: readonly unknown[];
}

const TO_A = {kind: 'sent', endpoint: 'engine-a'};
const TO_B = {kind: 'sent', endpoint: 'engine-b'};
const NOT_LOADED = 'model_not_loaded';

const refused = (code: string, retryAfterMilliseconds: number) => ({
  ...{kind: 'refused', error: {code, retryAfterMilliseconds}},
});

const load = (a: number, b: number) => (host: RoutedHost) => {
  host.engine('engine-a').peerInFlight = a;
  host.engine('engine-b').peerInFlight = b;
};

const close = (id: string, until: number) => (host: RoutedHost) =>
  host.engine(id).condition.recordClosed(until);

const cool =
  (id: string, ratePerSecond: number) =>
  ({limits}: RoutedHost) =>
    limits.cold.recordRow(
      {incarnation: `${id}/1`, ratePerSecond, milliseconds: 30_000},
      false,
    );

const expectIn = (milliseconds: number) => (host: RoutedHost) =>
  host.announce({'engine-a': [], 'engine-b': []}, milliseconds);

const CASES: Case[] = [
  {name: 'two idle engines', outcome: TO_A, uses: [1, 0]},
  {name: 'a loaded one', prepare: load(1, 0), outcome: TO_B, uses: [0, 1]},
  {
    name: 'a leaving engine',
    prepare: ({registry}) => registry.recordLeaving('engine-a/1', 'host-2'),
    ...{outcome: TO_B, uses: ['leaving', 1]},
  },
  {
    name: 'an evacuated engine',
    prepare: host => host.evacuate('zone-b'),
    ...{outcome: TO_A, uses: [1, 'evacuated']},
  },
  {
    name: 'an engine that has refused the model',
    prepare: host =>
      host.replicas.recordRefusal(host.engine('engine-a'), 'model-a'),
    ...{outcome: TO_B, uses: ['refused_recently', 1]},
  },
  {
    name: 'an engine that asked for no requests',
    prepare: close('engine-a', 5000),
    ...{outcome: TO_B, uses: ['closed', 1]},
  },
  {
    name: 'an engine that could not be connected to',
    prepare: host => host.engine('engine-a').condition.recordConnectFailure(0),
    ...{outcome: TO_B, uses: ['paused', 1]},
  },
  {
    name: 'engines that limit their requests',
    prepare: ({limits}) =>
      ENGINES.forEach(({id}) => limits.receive(`${id}/1`, 4)),
    outcome: {...TO_A, permitWaitMilliseconds: 1000},
    uses: [1, 0],
  },
  {
    name: 'an engine that was found to be cold, beside a loaded one',
    prepare: host => void [cool('engine-a', 4)(host), load(0, 1)(host)],
    outcome: {...TO_B, permitWaitMilliseconds: undefined},
    uses: ['cold', 1],
  },
  {
    name: 'a cold engine with permits beside a loaded one',
    prepare: async host => {
      cool('engine-a', 4)(host);
      load(0, 1)(host);
      await host.clock.advanceAsync(1000);
    },
    outcome: {...TO_A, permitWaitMilliseconds: 0},
    uses: [1, 0],
  },
  {
    name: 'a cold engine alone',
    prepare: host => void [cool('engine-a', 4)(host), host.evacuate('zone-b')],
    outcome: {...TO_A, permitWaitMilliseconds: 1000},
    waitsMilliseconds: 1000,
    uses: [1, 'evacuated'],
  },
  {
    name: 'a cold engine beside one that could not be connected to',
    prepare: host => {
      cool('engine-a', 4)(host);
      host.engine('engine-b').condition.recordConnectFailure(0);
    },
    ...{outcome: TO_B, uses: ['cold', 1]},
  },
  {
    name: 'ordered admission and a cold engine beside a full one',
    features: ordered,
    prepare: host => void [cool('engine-a', 4)(host), load(0, 2)(host)],
    outcome: {kind: 'waits_for_room'},
    uses: ['cold', 'full'],
  },
  {
    name: 'no replica, one expected in time',
    prepare: expectIn(300),
    outcome: {kind: 'waits_for_replica', expectedMilliseconds: 300},
    uses: [NOT_LOADED, NOT_LOADED],
  },
  {
    name: 'no replica, one expected too late',
    prepare: expectIn(25_000),
    outcome: refused('no_replica', 25_000),
    uses: [NOT_LOADED, NOT_LOADED],
  },
  {
    name: 'engines with the model that are all closed',
    prepare: host =>
      void [close('engine-a', 5000)(host), close('engine-b', 4000)(host)],
    outcome: refused('no_replica', 4000),
    uses: ['closed', 'closed'],
  },
  {
    name: 'a service that is evacuated',
    prepare: host => host.evacuate('zone-a', 'zone-b'),
    outcome: refused('no_replica', 1000),
    uses: ['evacuated', 'evacuated'],
  },
  {
    name: 'even balancing without unobserved requests',
    features: even,
    ...{outcome: TO_A, uses: [1, 0]},
  },
  {
    name: 'even balancing with unobserved requests',
    features: even,
    prepare: host => {
      load(1, 1)(host);
      for (let count = 0; count < 5; count++) void host.acquire();
    },
    outcome: TO_A,
    uses: [expect.closeTo(0.647, 3), expect.closeTo(0.353, 3)],
  },
  {
    name: 'ordered admission with room',
    features: ordered,
    prepare: load(2, 0),
    outcome: {...TO_B, admission: {ahead: 0}},
    uses: ['full', 1],
  },
  {
    name: 'ordered admission and full engines',
    features: ordered,
    prepare: load(2, 2),
    outcome: {kind: 'waits_for_room', admission: {levelNeeded: 2, ahead: 0}},
    uses: ['full', 'full'],
  },
];

async function stateOf(host: RoutedHost) {
  const engines = ENGINES.map(({id}) => host.engine(id));
  return {
    requests: engines.map(({inFlight, reserved}) => [inFlight, reserved]),
    waiting: host.router.waiting(),
    arrivals: host.router.arrivalCounts(),
    metrics: await metrics.render(),
  };
}

// Guards against an explanation that differs from what happens to the next request, or
// that has an effect itself.
test.each(CASES)('$name', async entry => {
  const host = new RoutedHost(ENGINES, entry.features);
  await entry.prepare?.(host);
  await host.clock.advanceAsync(0);
  const before = await stateOf(host);
  const {outcome, candidates} = host.router.explain(host.request, 'affinity');
  expect(outcome).toMatchObject(entry.outcome);
  const uses = ENGINES.map(({id}) => {
    const found = candidates.find(({endpoint}) => endpoint === id);
    return found?.excluded ?? found?.probability;
  });
  expect(uses).toEqual(entry.uses);
  expect(await stateOf(host)).toEqual(before);

  let result: Awaited<ReturnType<typeof host.acquire>> | undefined;
  void host.acquire().then(acquired => (result = acquired));
  await host.clock.advanceAsync(0);
  switch (outcome.kind) {
    case 'sent': {
      await host.clock.advanceAsync(entry.waitsMilliseconds ?? 0);
      const id = result?.ok === true ? result.value.record.id : undefined;
      const chosen = candidates.find(({endpoint}) => endpoint === id);
      expect(chosen?.probability).toBeGreaterThan(0);
      break;
    }
    case 'refused':
      expect(result).toEqual({ok: false, error: outcome.error});
      break;
    case 'waits_for_replica':
    case 'waits_for_room':
      expect(result).toBeUndefined();
  }
});
