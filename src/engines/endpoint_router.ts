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
  type ChooseEndpointOptions,
  type Endpoint,
  type WaitingCount,
} from '../fleet/mod.ts';
import {
  drainingError,
  type EndpointPreference,
  type EndpointSource,
  type NotedResponse,
  type RoutedRequest,
  targetOf,
} from '../relay/mod.ts';
import {type AdmissionRefusal, OrderedAdmission} from '../admission/mod.ts';
import {affinityKeyOf} from './_affinity_key_of.ts';
import {LimitedEndpoints} from './_limited_endpoints.ts';
import {
  modelNotFound,
  noEndpoint,
  noRoomInTime,
  notInTime,
  removedRefusal,
  serviceEvacuated,
} from './_refusal.ts';
import {lateRefusal} from './_late_refusal.ts';
import {mayRun, refuseWithoutVersion} from './_required_version.ts';
import {WaitingRequests} from './_waiting_requests.ts';
import type {
  EndpointRouterOptions,
  RouterAdmissionOptions,
} from './endpoint_router_options.ts';
import {explainPlacement} from './explain_placement.ts';
import type {PlacementExplanation} from './placement_explanation.ts';

/**
 * Share of the caller's time-out that a request may spend waiting for a load.
 */
const MAXIMUM_WAIT_SHARE = 0.92;

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
              isAllowed: endpoint => {
                const at = returnAt.get(endpoint.incarnation);
                const {clock} = this.options;
                return (
                  mayRun(request, endpoint) &&
                  (at === undefined || at <= clock.monotonicMilliseconds())
                );
              },
              choose: (endpoints, drawn) =>
                this.chooseDrawn(endpoints, drawn, request, preference),
            });
      if (outcome?.kind === 'refused')
        return this.refuseWaiting(request, outcome);
      if (outcome?.kind === 'aborted') return notInTime(target);
      const all = this.candidates(service.name, target, isModelRequest);
      const open = all.filter(
        endpoint => isOpen(endpoint) && mayRun(request, endpoint),
      );
      const chosen =
        outcome?.kind === 'admitted'
          ? outcome.endpoint
          : this.choose(open, request, excluded, preference);
      if (chosen !== undefined) {
        const waitsUntil = this.waitDeadline(request);
        const hasOther =
          this.limited.has(chosen) && this.limited.isAnyOpen(open, excluded);
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
      const {registry} = this.options;
      if (registry.isServiceEvacuated(service.name))
        return serviceEvacuated(service.name);
      const versionGone = refuseWithoutVersion(request, {
        usable: registry.usable(service.name),
        holders: all,
        excluded,
        hasSeenVersion:
          request.softwareVersion === undefined ||
          registry.hasSeenVersion(service.name, request.softwareVersion),
      });
      if (versionGone !== undefined) return versionGone;
      const roomAt = Math.min(...returnAt.values());
      if (!isModelRequest) {
        const now = this.options.clock.monotonicMilliseconds();
        return noEndpoint(service.name, roomAt - now);
      }
      const refused =
        removedRefusal(request, this.options.service(service.name)) ??
        this.refuseIfTooLate(request, target, roomAt);
      if (refused !== undefined) return refused;
      await this.waitingRequests.wait(request, signal);
      returnAt.clear();
      if (signal.aborted) return notInTime(target);
    }
  }

  /** What {@link acquire} would decide now; nothing is sent, counted or reserved. */
  explain(
    request: RoutedRequest,
    preference: EndpointPreference,
  ): PlacementExplanation {
    return explainPlacement(request, {
      ...this.options,
      limited: this.limited,
      orderedAdmission: this.admission,
      choice: this.choiceOf(request, new Set(), preference),
      waitDeadline: this.waitDeadline(request),
      chooseDrawn: (endpoints, drawn) =>
        this.chooseDrawn(endpoints, drawn, request, preference),
      findTooLate: (target, roomAt) =>
        this.findTooLate(request, target, roomAt),
    });
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
    const choice = this.choiceOf(request, excluded, preference);
    const {balancer} = this.options;
    return balancer === undefined
      ? chooseEndpoint(candidates, choice)
      : balancer.choose(candidates, request, choice);
  }

  private choiceOf(
    request: RoutedRequest,
    excluded: ReadonlySet<string>,
    preference: EndpointPreference,
  ): ChooseEndpointOptions {
    const affinityKey = affinityKeyOf(request, preference);
    return {
      now: this.options.clock.monotonicMilliseconds(),
      excluded,
      dataCentre: this.options.dataCentre,
      isLimited: endpoint => this.limited.has(endpoint),
      ...(affinityKey === undefined ? {} : {affinityKey}),
    };
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
    const error = this.findTooLate(request, target, roomAt);
    if (error === undefined) return undefined;
    if (error.code !== REQUEST_ERROR_CODES.draining) {
      const {retryAfterMilliseconds = 0} = error;
      this.waitingRequests.recordRefused(request, retryAfterMilliseconds);
    }
    return failure(error);
  }

  private findTooLate(
    request: RoutedRequest,
    target: string,
    roomAt: number,
  ): RequestError | undefined {
    const {clock, dispatchWindow, replicas} = this.options;
    const service = request.service.name;
    const model = request.metadata.model ?? target;
    return lateRefusal(target, {
      now: clock.monotonicMilliseconds(),
      deadline: this.waitDeadline(request),
      hostLimit: dispatchWindow.hostLimit(request),
      roomAt,
      expectedAt: replicas.expectedAt(service, model),
      remoteReadyAt: replicas.remoteReadyAt(service, model),
    });
  }

  /** Refuses a request for which the engines have no room in its time. */
  private refuseWaiting(
    request: RoutedRequest,
    {reason, retryAfterMilliseconds}: AdmissionRefusal,
  ): Result<Endpoint, RequestError> {
    if (reason === 'draining')
      return failure(drainingError(REQUEST_STEPS.place));
    this.waitingRequests.recordRefused(request, retryAfterMilliseconds);
    return noRoomInTime(targetOf(request.metadata), retryAfterMilliseconds);
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
      dispatchWindow.callerLimit(request),
      request.arrivedAt + callerTimeoutMilliseconds * MAXIMUM_WAIT_SHARE,
      dispatchWindow.hostLimit(request),
    );
  }
}
