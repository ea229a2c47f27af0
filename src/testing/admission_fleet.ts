import type {
  EndpointRecord,
  Route,
  ServiceConfiguration,
} from '../deployment/mod.ts';
import {EndpointRouter, ReplicaMap} from '../engines/mod.ts';
import {EndpointRegistry} from '../fleet/mod.ts';
import {
  type EventLogger,
  Metrics,
  SILENT_LOGGER,
} from '../observability/mod.ts';
import {EndpointLimits, PermitBroker} from '../permits/mod.ts';
import {
  DispatchWindow,
  type RoutedRequest,
  RunDurations,
} from '../relay/mod.ts';
import type {Clock} from '../time/mod.ts';
import {SimulatedEngine} from './simulated_engine.ts';

/** Options of {@link AdmissionFleet}. */
export interface AdmissionFleetOptions {
  clock: Clock;
  hosts: number;
  engines: number;
  slots: number;
  admission: 'immediate' | 'ordered';
  /** Models of all engines. @default one */
  models?: readonly string[];
  logger?: EventLogger;
}

/** A caller's request to one host. */
export interface CallerRequest {
  readonly kind: string;
  readonly host: number;
  readonly team: string;
  readonly model?: string;
  readonly priority: number;
  readonly objectiveMilliseconds: number;
  readonly timeoutMilliseconds: number;
  readonly runMilliseconds: number;
}

/** What became of a request; times are monotonic. */
export interface CallerOutcome extends CallerRequest {
  readonly arrivedAt: number;
  /** Time at which its run began, which is that of its first event. */
  startedAt?: number;
  endedAt?: number;
  refusedAt?: number;
  code?: string;
  retryAfterMilliseconds?: number;
  /** Number of times that an engine rejected it. */
  rejections: number;
}

/** Interval between load reports of active hosts. */
const REPORT_MILLISECONDS = 100;

/** Age above which the counts of a host are ignored. */
const REPORT_LIFETIME_MILLISECONDS = 2500;

/** Dispatches of one request, as in the relay. */
const MAXIMUM_DISPATCHES = 4;

const SERVICE = 'engines';

interface Host {
  readonly registry: EndpointRegistry;
  readonly router: EndpointRouter;
  readonly durations: RunDurations;
  readonly window: DispatchWindow;
  isCutOff: boolean;
  published: {readonly at: number; readonly counts: Map<string, number>};
}

/**
 * Hosts with the real router that share simulated engines, and know of each other's
 * requests by reports of 100 ms.
 */
export class AdmissionFleet {
  readonly outcomes: CallerOutcome[] = [];
  readonly engines: readonly SimulatedEngine[];
  readonly hosts: readonly Host[];
  private readonly service: ServiceConfiguration;

  constructor(private readonly options: AdmissionFleetOptions) {
    const {clock, slots, models = ['model-a']} = options;
    this.service = serviceOf(slots, models);
    this.engines = Array.from(
      {length: options.engines},
      () => new SimulatedEngine(clock, slots),
    );
    const records = this.engines.map((_, index) =>
      recordOf(index, slots, models),
    );
    this.hosts = Array.from({length: options.hosts}, (_, index) => {
      const host = this.createHost(index);
      host.registry.applySnapshot(
        new Map(records.map(record => [record.id, record])),
      );
      const first = (REPORT_MILLISECONDS * index) / options.hosts;
      clock.startTimer(first, () => this.report(host));
      return host;
    });
  }

  /** Sends a request; it fails when no host refuses it and no engine ends it. */
  async send(caller: CallerRequest, signal?: AbortSignal): Promise<void> {
    const {clock} = this.options;
    const arrivedAt = clock.monotonicMilliseconds();
    const outcome: CallerOutcome = {...caller, arrivedAt, rejections: 0};
    this.outcomes.push(outcome);
    const host = this.hosts[caller.host % this.hosts.length];
    if (host === undefined) throw new Error('The fleet has no hosts');
    const request = requestOf(caller, this.service, arrivedAt);
    const controller = new AbortController();
    const cancel = clock.startTimer(caller.timeoutMilliseconds, () =>
      controller.abort(),
    );
    signal?.addEventListener('abort', () => controller.abort());
    for (let dispatch = 0; dispatch < MAXIMUM_DISPATCHES; dispatch++) {
      const acquired = await host.router.acquire(
        request,
        new Set(),
        controller.signal,
        'affinity',
      );
      if (!acquired.ok) {
        outcome.code = acquired.error.code;
        outcome.retryAfterMilliseconds =
          acquired.error.retryAfterMilliseconds ?? 0;
        break;
      }
      const endpoint = acquired.value;
      const target = caller.model ?? 'model-a';
      const engine = this.engines[Number(endpoint.record.id)];
      endpoint.begin(target);
      const sentAt = clock.monotonicMilliseconds();
      const hasRun = await engine?.run(caller, () => {
        outcome.startedAt = clock.monotonicMilliseconds();
      });
      endpoint.end(target);
      if (hasRun === true) {
        cancel();
        outcome.endedAt = clock.monotonicMilliseconds();
        host.durations.record(request, outcome.endedAt - sentAt);
        return;
      }
      outcome.rejections++;
      host.router.noteRefused(request, endpoint);
    }
    cancel();
    outcome.refusedAt = clock.monotonicMilliseconds();
  }

  /** Outcomes of one kind of request. */
  of(kind: string): readonly CallerOutcome[] {
    return this.outcomes.filter(outcome => outcome.kind === kind);
  }

  /** Share of the requests of a kind that began within their objective. */
  onTime(kind: string): number {
    const outcomes = this.of(kind);
    const onTime = outcomes.filter(
      ({startedAt = Infinity, arrivedAt, objectiveMilliseconds}) =>
        startedAt <= arrivedAt + objectiveMilliseconds,
    );
    return onTime.length / outcomes.length;
  }

  /** Share of the requests of a kind that ended within their time. */
  served(kind: string): number {
    const outcomes = this.of(kind);
    const served = outcomes.filter(
      ({endedAt = Infinity, arrivedAt, timeoutMilliseconds}) =>
        endedAt <= arrivedAt + timeoutMilliseconds,
    );
    return served.length / outcomes.length;
  }

  /** Rejections of all requests by full engines. */
  get rejections(): number {
    return this.outcomes.reduce((sum, {rejections}) => sum + rejections, 0);
  }

  private report(host: Host): void {
    const {clock} = this.options;
    const now = clock.monotonicMilliseconds();
    clock.startTimer(REPORT_MILLISECONDS, () => this.report(host));
    const counts = new Map<string, number>();
    for (const {record, inFlight} of host.registry.all())
      counts.set(record.id, inFlight);
    if (!host.isCutOff) host.published = {at: now, counts};
    const heard = this.hosts.filter(
      other =>
        other !== host &&
        !host.isCutOff &&
        now - other.published.at <= REPORT_LIFETIME_MILLISECONDS,
    );
    for (const endpoint of host.registry.all()) {
      endpoint.peerInFlight = heard.reduce(
        (sum, {published}) =>
          sum + (published.counts.get(endpoint.record.id) ?? 0),
        0,
      );
    }
    host.router.countsUpdated();
  }

  private createHost(index: number): Host {
    const {clock, hosts, admission, logger = SILENT_LOGGER} = this.options;
    const registry = new EndpointRegistry({
      clock,
      logger: SILENT_LOGGER,
      maximumConnections: () => 1,
      storeRegainedAt: () => Number.NEGATIVE_INFINITY,
    });
    const limits = new EndpointLimits({
      clock,
      logger: SILENT_LOGGER,
      announce: () => undefined,
    });
    const durations = new RunDurations(clock);
    const window = new DispatchWindow({
      runs: durations,
      firstEvents: new RunDurations(clock),
    });
    const evenShare = () => 1 / hosts;
    const host: Host = {
      registry,
      durations,
      window,
      isCutOff: false,
      published: {at: 0, counts: new Map()},
      router: new EndpointRouter({
        registry,
        replicas: new ReplicaMap({registry, clock, incarnation: `${index}`}),
        limits,
        permits: new PermitBroker({
          clock,
          limits,
          selfId: `host-${index}`,
          granter: () => `host-${index}`,
          isStandbyHost: () => false,
          grantedShare: () => 1,
          evenShare,
          coldShare: evenShare,
          coldEngines: {overrun: 1, slack: 0},
          send: () => false,
          random: () => 0,
        }),
        coldEngines: {presume: () => undefined, rateOf: () => undefined},
        dispatchWindow: window,
        clock,
        dataCentre: 'zone-a',
        announceLeaving: () => undefined,
        service: () => this.service,
        onDemandChanged: () => undefined,
        ...(admission === 'ordered'
          ? {
              admission: {
                hostId: `host-${index}`,
                logger,
                metrics: new Metrics(),
                evenShare,
                slotShare: () => (host.isCutOff ? 1 / hosts : 1),
              },
            }
          : {}),
      }),
    };
    return host;
  }
}

function serviceOf(
  slots: number,
  models: readonly string[],
): ServiceConfiguration {
  const model = {
    weightsMegabytes: 1,
    adapterMegabytes: 1,
    remoteLoadMilliseconds: 6000,
    diskLoadMilliseconds: 500,
    memoryLoadMilliseconds: 100,
  };
  return {
    name: SERVICE,
    connectionLimit: 1000,
    coldStart: undefined,
    engines: {
      slots,
      weightsMegabytes: 100,
      adapterCapacity: 1,
      loadsPerSecond: 4,
      models: new Map(models.map(name => [name, {name, ...model}])),
    },
  };
}

function recordOf(
  index: number,
  slots: number,
  models: readonly string[],
): EndpointRecord {
  return {
    id: String(index),
    rowVersion: 1,
    softwareVersion: 'v1',
    service: SERVICE,
    address: '127.0.0.1:1',
    dataCentre: 'zone-a',
    slots,
    state: 'ready',
    startedAt: 1,
    leavesInMilliseconds: undefined,
    coldMilliseconds: 0,
    models: models.map(name => ({name, version: 1, adapters: []})),
    inMemory: [],
    onDisk: [],
  };
}

function requestOf(
  caller: CallerRequest,
  service: ServiceConfiguration,
  arrivedAt: number,
): RoutedRequest {
  const {objectiveMilliseconds, priority, timeoutMilliseconds} = caller;
  const route: Route = {
    name: caller.kind,
    hostName: 'api.example',
    prefix: '/',
    kind: 'streaming',
    timeoutMilliseconds,
    objectiveMilliseconds,
    priority,
    targets: [{service: SERVICE, weight: 1}],
    maximumAttempts: 1,
    open: true,
    callerTimeoutMilliseconds: timeoutMilliseconds,
    resumable: false,
  };
  return {
    metadata: {
      requestId: `${caller.kind} ${arrivedAt}`,
      hostName: 'api.example',
      key: undefined,
      model: caller.model ?? 'model-a',
      adapter: undefined,
      tokens: undefined,
      promptParts: [],
      deadlineMilliseconds: undefined,
      lastEventId: undefined,
      resumes: undefined,
    },
    route,
    service,
    team: caller.team,
    priority,
    arrivedAt,
    deadlineAt: arrivedAt + timeoutMilliseconds,
  };
}
