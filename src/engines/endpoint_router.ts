import type {ServiceConfiguration} from '../deployment/mod.ts';
import {
  failure,
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
  type Result,
  success,
} from '../errors/mod.ts';
import {
  type ArrivalCount,
  chooseEndpoint,
  type Endpoint,
  type EndpointRegistry,
  type WaitingCount,
} from '../fleet/mod.ts';
import {
  type DispatchWindow,
  drainingError,
  type EndpointPreference,
  type EndpointSource,
  type NotedResponse,
  type RoutedRequest,
  targetOf,
} from '../relay/mod.ts';
import type {EndpointLimits, PermitBroker} from '../permits/mod.ts';
import type {Clock} from '../time/mod.ts';
import {
  type AdmissionRefusal,
  OrderedAdmission,
  type OrderedAdmissionOptions,
} from '../admission/mod.ts';
import {affinityKeyOf} from './_affinity_key_of.ts';
import type {ColdEngines} from './cold_engines.ts';
import {LimitedEndpoints} from './_limited_endpoints.ts';
import {
  modelNotFound,
  notInTime,
  refusal,
  serviceEvacuated,
} from './_refusal.ts';
import {WaitingRequests} from './_waiting_requests.ts';
import type {EndpointBalancer} from './endpoint_balancer.ts';
import type {ReplicaMap} from './replica_map.ts';

/** Options of {@link EndpointRouter}. */
export interface EndpointRouterOptions {
  registry: EndpointRegistry;
  replicas: ReplicaMap;
  limits: EndpointLimits;
  permits: PermitBroker;
  coldEngines: Pick<ColdEngines, 'presume' | 'rateOf'>;
  /** Until when requests are sent to endpoints. */
  dispatchWindow: DispatchWindow;
  /** Tells all hosts that a process has said in a response that it leaves. */
  announceLeaving: (incarnation: string) => void;
  clock: Clock;
  dataCentre: string;
  /** Distributes requests evenly; without it, the least loaded endpoint is used. */
  balancer?: EndpointBalancer;
  /** Returns a service of the current configuration. */
  service: (name: string) => ServiceConfiguration | undefined;
  /** Called when requests begin to wait for a target. */
  onDemandChanged: () => void;
  /**
   * Holds requests back while the engines that have their model are full. @default
   * all are sent at once
   */
  admission?: RouterAdmissionOptions;
}

/** Options of the order of waiting requests. */
export type RouterAdmissionOptions = Pick<
  OrderedAdmissionOptions,
  'evenShare' | 'hostId' | 'logger' | 'metrics' | 'slotShare'
>;

/**
 * Share of the caller's time-out that a request may spend waiting for a load.
 */
const MAXIMUM_WAIT_SHARE = 0.92;

/** Default delay that refused callers are told to wait before a retry. */
const RETRY_AFTER_MILLISECONDS = 500;

/**
 * Chooses endpoints for requests. Requests for a model that no engine has
 * loaded wait for a load.
 */
export class EndpointRouter implements EndpointSource {
  private readonly limited: LimitedEndpoints;
  private readonly waitingRequests: WaitingRequests;
  private readonly admission: OrderedAdmission | undefined;
  private readonly arrivals = new Map<string, ArrivalCount>();

  constructor(private readonly options: EndpointRouterOptions) {
    this.limited = new LimitedEndpoints(options);
    this.waitingRequests = new WaitingRequests({
      clock: options.clock,
      holders: (service, target) => options.replicas.holders(service, target),
      isOpen: endpoint => this.limited.isOpen(endpoint),
      waitDeadline: request => this.waitDeadline(request),
      onDemandChanged: options.onDemandChanged,
    });
    this.admission =
      options.admission === undefined
        ? undefined
        : this.createAdmission(options.admission);
    const onChange = () => {
      this.waitingRequests.wakeAll();
      this.admission?.enginesChanged();
    };
    options.registry.onChange(onChange);
    options.replicas.onChange(onChange);
  }

  /** Makes waiting requests check whether they can be sent or still be served. */
  recheckWaiting(): void {
    this.waitingRequests.wakeAll();
    this.admission?.recheck();
  }

  async acquire(
    request: RoutedRequest,
    excluded: ReadonlySet<string>,
    signal: AbortSignal,
    preference: EndpointPreference,
  ): Promise<Result<Endpoint, RequestError>> {
    const target = targetOf(request.metadata);
    const {service} = request;
    const isModelRequest = service.engines !== undefined && target !== '';
    if (isModelRequest) {
      const model = request.metadata.model ?? '';
      if (excluded.size === 0) this.countArrival(service.name, model);
      if (service.engines?.models.has(model) !== true) {
        return modelNotFound(service.name, model);
      }
    }
    // Endpoints that have no room for this request, and when there will be some.
    const returnAt = new Map<string, number>();
    for (;;) {
      const isOpen = ({incarnation}: Endpoint) => !returnAt.has(incarnation);
      // A request that has failed at an endpoint had its turn, and is owed an answer if
      // it has begun.
      const outcome =
        this.admission === undefined || !isModelRequest || excluded.size > 0
          ? undefined
          : await this.admission.waitForRoom({
              request,
              signal,
              // It may wait beyond the time at which one of them has room again.
              isAllowed: ({incarnation}) => {
                const at = returnAt.get(incarnation);
                const {clock} = this.options;
                return at === undefined || at <= clock.monotonicMilliseconds();
              },
              choose: (endpoints, drawn) =>
                this.chooseDrawn(endpoints, drawn, request, preference),
            });
      if (outcome?.kind === 'refused')
        return this.refuseWaiting(request, outcome);
      if (outcome?.kind === 'aborted') return notInTime(target);
      const open = this.candidates(service.name, target, isModelRequest).filter(
        isOpen,
      );
      const chosen =
        outcome?.kind === 'admitted'
          ? outcome.endpoint
          : this.choose(open, request, excluded, preference);
      if (chosen !== undefined) {
        const waitsUntil = this.waitDeadline(request);
        const hasOther =
          this.limited.has(chosen) &&
          open.some(
            other =>
              !excluded.has(other.incarnation) && this.limited.isOpen(other),
          );
        const roomAt = await this.limited.roomAt(
          {endpoint: chosen, request, waitsUntil, hasOther},
          signal,
        );
        if (roomAt === undefined) {
          this.waitingRequests.recordServable(request);
          this.options.balancer?.recordSent(request, preference);
          return success(chosen);
        }
        this.admission?.release(chosen);
        // Times of evacuated endpoints say nothing of when there will be room.
        if (this.isEvacuated(chosen)) returnAt.clear();
        else returnAt.set(chosen.incarnation, roomAt);
        continue;
      }
      if (this.options.registry.isServiceEvacuated(service.name))
        return serviceEvacuated(service.name);
      const roomAt = Math.min(...returnAt.values());
      if (!isModelRequest) {
        const now = this.options.clock.monotonicMilliseconds();
        return refusal(
          REQUEST_ERROR_CODES.overloaded,
          `No endpoint of "${service.name}" can be used`,
          Number.isFinite(roomAt)
            ? Math.max(1, roomAt - now)
            : RETRY_AFTER_MILLISECONDS,
        );
      }
      const refused =
        this.refuseIfRemoved(request) ??
        this.refuseIfTooLate(request, target, roomAt);
      if (refused !== undefined) return refused;
      await this.waitingRequests.wait(request, signal);
      returnAt.clear();
      if (signal.aborted) return notInTime(target);
    }
  }

  isEvacuated({record}: Endpoint): boolean {
    return this.options.registry.isEvacuated(record);
  }

  noteResponse(endpoint: Endpoint, response: NotedResponse): void {
    this.limited.observe(endpoint, response);
  }

  noteUnreachable(endpoint: Endpoint): void {
    this.options.coldEngines.presume(endpoint);
  }

  noteRefused(request: RoutedRequest, endpoint: Endpoint): void {
    this.options.replicas.recordRefusal(endpoint, targetOf(request.metadata));
  }

  /**
   * Targets that requests of this host wait for, or were refused for recently.
   */
  waiting(): readonly WaitingCount[] {
    return [
      ...this.waitingRequests.counts(),
      ...(this.admission?.waiting() ?? []),
    ];
  }

  /** Called when the counts of other hosts' requests have been updated. */
  countsUpdated(): void {
    if (this.admission === undefined) return;
    this.waitingRequests.wakeServable();
    this.admission.countsUpdated();
  }

  /** Requests for each model since the start of this host. */
  arrivalCounts(): ArrivalCount[] {
    return [...this.arrivals.values()];
  }

  private countArrival(service: string, model: string): void {
    const key = `${service} ${model}`;
    const requests = (this.arrivals.get(key)?.requests ?? 0) + 1;
    this.arrivals.set(key, {service, model, requests});
  }

  private candidates(
    service: string,
    target: string,
    isModelRequest: boolean,
  ): readonly Endpoint[] {
    const {replicas, registry} = this.options;
    return isModelRequest
      ? replicas.holders(service, target)
      : registry.usable(service);
  }

  private choose(
    candidates: readonly Endpoint[],
    request: RoutedRequest,
    excluded: ReadonlySet<string>,
    preference: EndpointPreference,
  ): Endpoint | undefined {
    const affinityKey = affinityKeyOf(request, preference);
    const choice = {
      now: this.options.clock.monotonicMilliseconds(),
      excluded,
      dataCentre: this.options.dataCentre,
      isLimited: (endpoint: Endpoint) => this.limited.has(endpoint),
      ...(affinityKey === undefined ? {} : {affinityKey}),
    };
    const {balancer} = this.options;
    return balancer === undefined
      ? chooseEndpoint(candidates, choice)
      : balancer.choose(candidates, request, choice);
  }

  /**
   * Chooses the endpoint that keeps a session's prompt where that is worth its load, or
   * else the one that was drawn, so that the hosts do not all choose the same one.
   */
  private chooseDrawn(
    endpoints: readonly Endpoint[],
    drawn: Endpoint,
    request: RoutedRequest,
    preference: EndpointPreference,
  ): Endpoint | undefined {
    const none = new Set<string>();
    const preferred = this.choose(endpoints, request, none, preference);
    if (this.options.balancer !== undefined) return preferred;
    const cheapest = this.choose(endpoints, request, none, 'least_loaded');
    const isAlone = (this.options.admission?.evenShare() ?? 1) >= 1;
    return isAlone || preferred !== cheapest || this.limited.has(drawn)
      ? preferred
      : drawn;
  }

  /**
   * Refuses a request for what the configuration has contained when it arrived
   * but no longer does: no host loads its model any more.
   */
  private refuseIfRemoved({
    service: {name},
    metadata: {model = ''},
  }: RoutedRequest): Result<Endpoint, RequestError> | undefined {
    const service = this.options.service(name);
    if (service === undefined) {
      return refusal(
        REQUEST_ERROR_CODES.noReplica,
        `Service "${name}" is no longer configured`,
        RETRY_AFTER_MILLISECONDS,
      );
    }
    return service.engines?.models.has(model) === true
      ? undefined
      : modelNotFound(name, model);
  }

  /**
   * Refuses a request whose model cannot be loaded before its caller times out or
   * this host stops: at once if the manager of the pool already knows it. Of a model
   * whose engines have no room, another replica must be expected in time.
   *
   * @param roomAt Monotonic time at which one of them has room; Infinity if no engine
   *     has the model.
   */
  private refuseIfTooLate(
    request: RoutedRequest,
    target: string,
    roomAt: number,
  ): Result<Endpoint, RequestError> | undefined {
    const {clock, replicas} = this.options;
    const now = clock.monotonicMilliseconds();
    const deadline = this.waitDeadline(request);
    const service = request.service.name;
    const model = request.metadata.model ?? target;
    const hasReplica = Number.isFinite(roomAt);
    const expectedAt = replicas.expectedAt(service, model);
    const readyAt = hasReplica
      ? Math.min(expectedAt ?? Infinity, roomAt)
      : (expectedAt ?? replicas.remoteReadyAt(service, model) ?? now);
    const isAwaitable = !hasReplica || expectedAt !== undefined;
    if (now < deadline && readyAt < deadline && isAwaitable) return undefined;
    if (deadline === this.options.dispatchWindow.hostLimit(request)) {
      return failure(drainingError(REQUEST_STEPS.place));
    }
    const retryAfter = hasReplica
      ? Math.max(1, readyAt - now)
      : Math.max(RETRY_AFTER_MILLISECONDS, readyAt - now);
    this.waitingRequests.recordRefused(request, retryAfter);
    return refusal(
      REQUEST_ERROR_CODES.noReplica,
      hasReplica
        ? `The engines that have loaded "${target}" take no more requests now`
        : `No engine can load "${target}" within the caller's time-out`,
      retryAfter,
    );
  }

  /** Refuses a request for which the engines have no room in its time. */
  private refuseWaiting(
    request: RoutedRequest,
    {reason, retryAfterMilliseconds}: AdmissionRefusal,
  ): Result<Endpoint, RequestError> {
    if (reason === 'draining')
      return failure(drainingError(REQUEST_STEPS.place));
    this.waitingRequests.recordRefused(request, retryAfterMilliseconds);
    return refusal(
      REQUEST_ERROR_CODES.overloaded,
      `The engines that have loaded "${targetOf(request.metadata)}" have no room within the caller's time-out`,
      retryAfterMilliseconds,
    );
  }

  private createAdmission(options: RouterAdmissionOptions): OrderedAdmission {
    const {clock, dispatchWindow, registry} = this.options;
    return new OrderedAdmission({
      ...options,
      clock,
      registry,
      holders: (service, target) => this.openHolders(service, target),
      expectedMilliseconds: request => dispatchWindow.expected(request),
      lastStartAt: request => this.waitDeadline(request),
      hostLimit: request => dispatchWindow.hostLimit(request),
    });
  }

  /** Engines that have a target and take requests; paused ones only without others. */
  private openHolders(service: string, target: string): readonly Endpoint[] {
    const now = this.options.clock.monotonicMilliseconds();
    const open = this.candidates(service, target, true).filter(
      endpoint => this.limited.closedUntil(endpoint) === undefined,
    );
    const available = open.filter(({condition}) => !condition.isPaused(now));
    return available.length > 0 ? available : open;
  }

  /** Monotonic time until which a request may wait for an endpoint. */
  private waitDeadline(request: RoutedRequest): number {
    const {dispatchWindow} = this.options;
    const {callerTimeoutMilliseconds} = request.route;
    return Math.min(
      dispatchWindow.deadlineLimit(request),
      request.arrivedAt + callerTimeoutMilliseconds * MAXIMUM_WAIT_SHARE,
      dispatchWindow.hostLimit(request),
    );
  }
}
