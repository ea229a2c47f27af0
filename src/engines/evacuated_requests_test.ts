import {expect, test} from 'vitest';
import {engineRecord} from '../testing/managed_pool.ts';
import {RoutedHost} from '../testing/routed_requests.ts';

const MODEL = {name: 'model-a', version: 1, adapters: []};
const ENGINES = [
  engineRecord({id: 'engine-a', models: [MODEL]}),
  engineRecord({id: 'engine-b', dataCentre: 'zone-b'}),
];

/** A host with an engine in each of two data centres; the first one has the model. */
function create() {
  const host = new RoutedHost(ENGINES);
  return {
    clock: host.clock,
    limits: host.limits,
    /**
     * Sends a request.
     *
     * @returns Tells where it was sent or how it was refused; undefined while it waits.
     */
    send: () => {
      let outcome: unknown;
      void host.acquire().then(result => {
        outcome = result.ok ? result.value.record.id : result.error;
      });
      return () => outcome;
    },
    evacuate: (...zones: string[]) => host.evacuate(...zones),
    announce: (models: Record<string, string[]>, readyIn?: number) =>
      host.announce(models, readyIn),
  };
}

type Host = ReturnType<typeof create>;

interface Case {
  name: string;
  steps: (host: Host) => void;
  outcome: unknown;
}

const WAITING = {'engine-a': [], 'engine-b': []};
const REFUSED = {code: 'no_replica', run: 'not_run'};

const CASES: Case[] = [
  {
    name: 'waits for a load elsewhere that is expected in time',
    steps: ({announce, evacuate}) =>
      void [announce(WAITING, 300), evacuate('zone-a')],
    outcome: undefined,
  },
  {
    name: 'is refused with the time at which a load elsewhere is expected',
    steps: ({announce, evacuate}) =>
      void [evacuate('zone-a'), announce(WAITING, 25_000)],
    outcome: {...REFUSED, retryAfterMilliseconds: 25_000},
  },
  {
    name: 'is moved to another data centre that has the model',
    steps: ({announce, evacuate}) =>
      void [evacuate('zone-a'), announce({'engine-b': ['model-a']})],
    outcome: 'engine-b',
  },
  {
    name: 'is refused if all data centres are evacuated',
    steps: ({evacuate}) => evacuate('zone-a', 'zone-b'),
    outcome: {...REFUSED, retryAfterMilliseconds: 1000},
  },
  {
    name: 'is served on the return of the data centre',
    steps: ({announce, evacuate}) =>
      void [
        evacuate('zone-a'),
        announce({'engine-a': ['model-a']}),
        evacuate(),
      ],
    outcome: 'engine-a',
  },
];

// Guards against requests that wait in vain while their engines are evacuated.
test.each(CASES)('a request that waits $name', async ({steps, outcome}) => {
  const host = create();
  host.announce(WAITING);
  const outcomeNow = host.send();
  await host.clock.advanceAsync(100);
  expect(outcomeNow()).toBeUndefined();
  steps(host);
  await host.clock.advanceAsync(0);
  if (outcome === undefined) expect(outcomeNow()).toBeUndefined();
  else expect([outcomeNow()]).toMatchObject([outcome]);
});

// Guards against requests that keep their turn at an engine after its evacuation, or
// are told to return although another engine will have the model.
test('a request that waits for its turn is moved at once', async () => {
  const {announce, clock, evacuate, limits, send} = create();
  announce({'engine-a': ['model-a']});
  limits.receive('engine-a/1', 1);
  const outcomes = [send(), send()];
  await clock.advanceAsync(100);
  expect(outcomes.map(outcome => outcome())).toEqual(['engine-a', undefined]);
  evacuate('zone-a');
  await clock.advanceAsync(0);
  expect(outcomes[1]?.()).toBeUndefined();
  announce({'engine-b': ['model-a']});
  await clock.advanceAsync(0);
  expect(outcomes[1]?.()).toBe('engine-b');
});
