import {expect, test} from 'vitest';
import type {ServiceConfiguration} from '../deployment/mod.ts';
import {EndpointRegistry} from '../fleet/mod.ts';
import {SILENT_LOGGER} from '../observability/mod.ts';
import {
  DispatchWindow,
  type RoutedRequest,
  RunDurations,
} from '../relay/mod.ts';
import {EndpointLimits, PermitBroker} from '../permits/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {EndpointRouter, ReplicaMap} from './mod.ts';

const CALLER_TIMEOUT_MILLISECONDS = 20_000;

function serviceWith(models: readonly string[]): ServiceConfiguration {
  return {
    name: 'engines',
    connectionLimit: 10,
    coldStart: undefined,
    engines: {
      slots: 1,
      weightsMegabytes: 2,
      adapterCapacity: 1,
      loadsPerSecond: 4,
      models: new Map(
        models.map(name => [
          name,
          {
            name,
            weightsMegabytes: 1,
            adapterMegabytes: 1,
            remoteLoadMilliseconds: 1000,
            diskLoadMilliseconds: 500,
            memoryLoadMilliseconds: 100,
          },
        ]),
      ),
    },
  };
}

function requestFor(
  service: ServiceConfiguration,
  arrivedAt: number,
): RoutedRequest {
  return {
    metadata: {
      requestId: 'request-1',
      hostName: 'api.example',
      key: undefined,
      model: 'model-a',
      adapter: undefined,
      tokens: undefined,
      promptParts: [],
      deadlineMilliseconds: undefined,
      lastEventId: undefined,
    },
    route: {
      name: 'chat',
      hostName: 'api.example',
      prefix: '/chat/',
      kind: 'streaming',
      timeoutMilliseconds: CALLER_TIMEOUT_MILLISECONDS,
      objectiveMilliseconds: 200,
      priority: 1,
      targets: [{service: service.name, weight: 1}],
      maximumAttempts: 1,
      open: true,
      callerTimeoutMilliseconds: CALLER_TIMEOUT_MILLISECONDS,
      resumable: false,
    },
    service,
    team: undefined,
    priority: 1,
    arrivedAt,
    deadlineAt: arrivedAt + CALLER_TIMEOUT_MILLISECONDS,
  };
}

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
    const limits = new EndpointLimits({
      clock,
      logger: SILENT_LOGGER,
      announce: () => undefined,
    });
    const router = new EndpointRouter({
      registry,
      replicas: new ReplicaMap({registry, clock, incarnation: 'host-1-run-1'}),
      limits,
      permits: new PermitBroker({
        clock,
        limits,
        selfId: 'host-1',
        granter: () => 'host-1',
        isStandbyHost: () => false,
        grantedShare: () => 1,
        evenShare: () => 1,
        coldShare: () => 1,
        coldEngines: {overrun: 1, slack: 0},
        send: () => false,
        random: () => 0,
      }),
      coldEngines: {presume: () => undefined, rateOf: () => undefined},
      dispatchWindow: new DispatchWindow(new RunDurations(clock)),
      clock,
      dataCentre: 'zone-a',
      announceLeaving: () => undefined,
      service: () => current,
      onDemandChanged: () => undefined,
    });
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
