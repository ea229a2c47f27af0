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
import type {ColdEngines} from './cold_engines.ts';
import {LimitedEndpoints} from './_limited_endpoints.ts';
import {modelNotFound, refusal} from './_refusal.ts';
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
  /** Returns a service of the current configuration. */
  service: (name: string) => ServiceConfiguration | undefined;
  /** Called when requests begin to wait for a target. */
  onDemandChanged: () => void;
}

/**
 * Share of the caller's time-out that a request may spend waiting for a load.
 */
const MAXIMUM_WAIT_SHARE = 0.92;

/** Default delay that refused callers are told to wait before a retry. */
const RETRY_AFTER_MILLISECONDS = 500;

/**
 * Time after the end of its Retry-After for which a refused request still counts as
 * demand, since its caller is expected to retry.
 */
const REFUSED_DEMAND_LIFETIME_MILLISECONDS = 2500;

/** Share of the time left to a caller after which it retries at the latest. */
const RETURN_SHARE = 1 / 3;

interface RefusedDemand {
  readonly request: RoutedRequest;
  /** Monotonic time at which it stops to count as demand. */
  readonly until: number;
}

interface Waiter {
  readonly request: RoutedRequest;
  readonly since: number;
  readonly wake: () => void;
}

/**
 * Chooses endpoints for requests. Requests for a model that no engine has
 * loaded wait for a load.
 */
export class EndpointRouter implements EndpointSource {
  private readonly limited: LimitedEndpoints;
  private readonly waiters = new Map<string, Set<Waiter>>();
  private readonly refused = new Map<string, RefusedDemand>();
  private readonly arrivals = new Map<string, ArrivalCount>();

  constructor(private readonly options: EndpointRouterOptions) {
    this.limited = new LimitedEndpoints(options);
    options.registry.onChange(() => this.recheckWaiting());
    options.replicas.onChange(() => this.recheckWaiting());
  }

  /** Makes waiting requests check whether they can be sent or still be served. */
  recheckWaiting(): void {
    for (const waiters of this.waiters.values()) {
      for (const waiter of waiters) waiter.wake();
    }
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
      const candidates = this.candidates(service.name, target, isModelRequest);
      const open = candidates.filter(
        ({incarnation}) => !returnAt.has(incarnation),
      );
      const chosen = this.choose(open, request, excluded, preference);
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
          this.refused.delete(`${service.name} ${target}`);
          return success(chosen);
        }
        returnAt.set(chosen.incarnation, roomAt);
        continue;
      }
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
      await this.wait(request, target, signal);
      returnAt.clear();
      if (signal.aborted) {
        return refusal(
          REQUEST_ERROR_CODES.noReplica,
          `No engine has loaded "${target}" in time`,
        );
      }
    }
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
    const now = this.options.clock.monotonicMilliseconds();
    const refused = [...this.refused].flatMap(([key, {request, until}]) => {
      if (now > until) this.refused.delete(key);
      if (!this.refused.has(key) || this.waiters.has(key)) return [];
      const target = targetOf(request.metadata);
      const {service, priority} = request;
      const holders = this.options.replicas.holders(service.name, target);
      const isServable = holders.some(holder => this.limited.isOpen(holder));
      // Nobody waits: age must not justify evictions or loads from the weight store.
      const waitedMilliseconds = 0;
      return [
        {
          service: service.name,
          target,
          requests: 1,
          timely: 0,
          priority,
          isHeld: false,
          isServable,
          waitedMilliseconds,
        },
      ];
    });
    const waiting = [...this.waiters.values()].flatMap(waiters => {
      const list = [...waiters];
      const [first] = list;
      if (first === undefined) return [];
      const {service, metadata} = first.request;
      return [
        {
          service: service.name,
          target: targetOf(metadata),
          requests: list.length,
          timely: list.filter(({request}) => isTimely(request, now)).length,
          priority: Math.min(...list.map(({request}) => request.priority)),
          isHeld: true,
          isServable: false,
          waitedMilliseconds: now - Math.min(...list.map(({since}) => since)),
        },
      ];
    });
    return [...waiting, ...refused];
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
    const session =
      preference === 'affinity'
        ? request.metadata.promptParts.at(-2)?.id
        : undefined;
    return chooseEndpoint(candidates, {
      now: this.options.clock.monotonicMilliseconds(),
      excluded,
      dataCentre: this.options.dataCentre,
      isLimited: endpoint => this.limited.has(endpoint),
      ...(session === undefined
        ? {}
        : {affinityKey: `${targetOf(request.metadata)} ${session}`}),
    });
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
    const {clock, replicas, onDemandChanged} = this.options;
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
    this.refused.set(`${service} ${target}`, {
      request,
      until:
        now +
        Math.min(retryAfter, (request.deadlineAt - now) * RETURN_SHARE) +
        REFUSED_DEMAND_LIFETIME_MILLISECONDS,
    });
    onDemandChanged();
    return refusal(
      REQUEST_ERROR_CODES.noReplica,
      hasReplica
        ? `The engines that have loaded "${target}" take no more requests now`
        : `No engine can load "${target}" within the caller's time-out`,
      retryAfter,
    );
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

  private async wait(
    request: RoutedRequest,
    target: string,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, onDemandChanged} = this.options;
    const key = `${request.service.name} ${target}`;
    const waiters = this.waiters.get(key) ?? new Set<Waiter>();
    this.waiters.set(key, waiters);
    const now = clock.monotonicMilliseconds();
    await new Promise<void>(resolve => {
      const finish = () => {
        cancel();
        signal.removeEventListener('abort', finish);
        waiters.delete(waiter);
        if (waiters.size === 0) this.waiters.delete(key);
        resolve();
      };
      const waiter: Waiter = {request, since: request.arrivedAt, wake: finish};
      const cancel = clock.startTimer(
        Math.max(1, Math.min(this.waitDeadline(request) - now, 1000)),
        finish,
      );
      signal.addEventListener('abort', finish, {once: true});
      waiters.add(waiter);
      if (waiters.size === 1) onDemandChanged();
    });
  }
}

/**
 * Whether a load from disk that starts now meets a request's latency objective.
 */
function isTimely(request: RoutedRequest, now: number): boolean {
  const {route, service, metadata, arrivedAt} = request;
  const model = service.engines?.models.get(metadata.model ?? '');
  const readyAt = now + (model?.diskLoadMilliseconds ?? 0);
  return readyAt <= arrivedAt + route.objectiveMilliseconds;
}
