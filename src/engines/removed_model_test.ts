import {expect, test} from 'vitest';
import type {ServiceConfiguration} from '../deployment/mod.ts';
import {EndpointRegistry} from '../fleet/mod.ts';
import {SILENT_LOGGER} from '../observability/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {
  createRouter,
  requestFor,
  serviceWith,
} from '../testing/routed_requests.ts';

// Guards against requests that wait in vain until their time-out (the property
// LOST): a configuration removed what they wait for, so that no host loads it.
test.each([
  {name: 'removes the model', models: ['model-b'], code: 'model_not_found'},
  {name: 'removes the service', models: undefined, code: 'no_replica'},
  {name: 'adds a model', models: ['model-a', 'model-b'], code: undefined},
])(
  'a request for a model waits only as long as it is configured: a configuration $name',
  async ({models, code}) => {
    const clock = new ManualClock();
    const registry = new EndpointRegistry({
      clock,
      logger: SILENT_LOGGER,
      maximumConnections: () => 1,
      storeRegainedAt: () => Number.NEGATIVE_INFINITY,
    });
    const admittedTo = serviceWith(['model-a']);
    let current: ServiceConfiguration | undefined = admittedTo;
    const {router} = createRouter({clock, registry, service: () => current});
    let outcome: Awaited<ReturnType<typeof router.acquire>> | undefined;
    void router
      .acquire(
        requestFor(admittedTo, 0),
        new Set(),
        new AbortController().signal,
        'affinity',
      )
      .then(result => (outcome = result));
    await clock.advanceAsync(2500);
    expect(outcome).toBeUndefined();
    current = models === undefined ? undefined : serviceWith(models);
    router.recheckWaiting();
    await clock.advanceAsync(0);
    if (code === undefined) expect(outcome).toBeUndefined();
    else {
      expect(outcome).toMatchObject({
        ok: false,
        error: {code, run: 'not_run'},
      });
    }
    expect(router.waiting().length).toBe(code === undefined ? 1 : 0);
  },
);
