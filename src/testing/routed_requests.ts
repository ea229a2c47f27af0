import type {ServiceConfiguration} from '../deployment/mod.ts';
import {EndpointRouter, ReplicaMap} from '../engines/mod.ts';
import type {EndpointRegistry} from '../fleet/mod.ts';
import {SILENT_LOGGER} from '../observability/mod.ts';
import {EndpointLimits, PermitBroker} from '../permits/mod.ts';
import {
  DispatchWindow,
  type RoutedRequest,
  RunDurations,
} from '../relay/mod.ts';
import type {Clock} from '../time/mod.ts';

const CALLER_TIMEOUT_MILLISECONDS = 20_000;

/** A pool of engines with some models. */
export function serviceWith(models: readonly string[]): ServiceConfiguration {
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

/** A request for `model-a`. */
export function requestFor(
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

/** Options of {@link createRouter}. */
export interface RouterOptions {
  clock: Clock;
  registry: EndpointRegistry;
  /** Returns a service of the current configuration. */
  service: (name: string) => ServiceConfiguration | undefined;
}

/** Router of the only host of a deployment. */
export function createRouter({clock, registry, service}: RouterOptions) {
  const limits = new EndpointLimits({
    clock,
    logger: SILENT_LOGGER,
    announce: () => undefined,
  });
  const replicas = new ReplicaMap({
    registry,
    clock,
    incarnation: 'host-1-run-1',
  });
  const router = new EndpointRouter({
    registry,
    replicas,
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
    service,
    onDemandChanged: () => undefined,
  });
  return {router, replicas, limits};
}
