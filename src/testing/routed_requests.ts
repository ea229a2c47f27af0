import type {EndpointRecord, ServiceConfiguration} from '../deployment/mod.ts';
import {
  EndpointRouter,
  type EndpointRouterOptions,
  ReplicaMap,
} from '../engines/mod.ts';
import {type Endpoint, EndpointRegistry} from '../fleet/mod.ts';
import {SILENT_LOGGER} from '../observability/mod.ts';
import {EndpointLimits, PermitBroker} from '../permits/mod.ts';
import {
  DispatchWindow,
  type RoutedRequest,
  RunDurations,
} from '../relay/mod.ts';
import type {Clock} from '../time/mod.ts';
import {ManualClock} from './manual_clock.ts';

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
      resumes: undefined,
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
  /** Features of the router beside the default ones. */
  features?: Pick<EndpointRouterOptions, 'admission' | 'balancer'> | undefined;
}

/** Router of the only host of a deployment. */
export function createRouter(options: RouterOptions) {
  const {clock, registry, service, features} = options;
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
    dispatchWindow: new DispatchWindow({
      runs: new RunDurations(clock),
      firstEvents: new RunDurations(clock),
    }),
    clock,
    dataCentre: 'zone-a',
    announceLeaving: () => undefined,
    service,
    onDemandChanged: () => undefined,
    ...features,
  });
  return {router, replicas, limits};
}

/** Features of the router of {@link RoutedHost}, beside the default ones. */
export type RoutedFeatures = (clock: Clock) => RouterOptions['features'];

/** Only host of a deployment with engines, and a request for `model-a` to it. */
export class RoutedHost {
  readonly clock = new ManualClock();
  readonly registry = new EndpointRegistry({
    clock: this.clock,
    logger: SILENT_LOGGER,
    maximumConnections: () => 1,
    storeRegainedAt: () => Number.NEGATIVE_INFINITY,
  });
  readonly router: EndpointRouter;
  readonly replicas: ReplicaMap;
  readonly limits: EndpointLimits;
  readonly request: RoutedRequest;
  private sequence = 0;

  constructor(
    private readonly engines: readonly EndpointRecord[],
    features?: RoutedFeatures,
  ) {
    const {clock, registry} = this;
    registry.applySnapshot(new Map(engines.map(record => [record.id, record])));
    const service = serviceWith(['model-a']);
    this.request = requestFor(service, 0);
    const created = createRouter({
      clock,
      registry,
      service: () => service,
      features: features?.(clock),
    });
    this.router = created.router;
    this.replicas = created.replicas;
    this.limits = created.limits;
  }

  /** Acquires an endpoint for the request. */
  acquire() {
    const {signal} = new AbortController();
    return this.router.acquire(this.request, new Set(), signal, 'affinity');
  }

  /** Returns an engine. */
  engine(id: string): Endpoint {
    const found = this.registry.find(id);
    if (found === undefined) throw new Error(`There is no engine "${id}"`);
    return found;
  }

  /** Excludes the engines of data centres. */
  evacuate(...dataCentres: readonly string[]): void {
    this.registry.setEvacuated(new Set(dataCentres));
  }

  /**
   * Announces the models of the engines as their manager does.
   *
   * @param readyIn Milliseconds until `model-a` is expected to be ready.
   */
  announce(models: Record<string, string[]>, readyIn?: number): void {
    this.replicas.receive({
      service: 'engines',
      epoch: 1,
      announcer: 'host-2',
      sequence: ++this.sequence,
      engines: this.engines
        .filter(({id}) => models[id] !== undefined)
        .map(({id, startedAt}) => ({
          endpoint: id,
          startedAt,
          targets: models[id] ?? [],
        })),
      expected:
        readyIn === undefined
          ? []
          : [{target: 'model-a', readyInMilliseconds: readyIn}],
      unexpected: [],
      remoteOnly: {added: [], removed: [], readyInMilliseconds: 0},
    });
  }
}
