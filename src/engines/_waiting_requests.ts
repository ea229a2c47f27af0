import type {Endpoint, WaitingCount} from '../fleet/mod.ts';
import {RETURN_SHARE} from '../admission/mod.ts';
import {type RoutedRequest, targetOf} from '../relay/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Options of {@link WaitingRequests}. */
export interface WaitingRequestsOptions {
  clock: Clock;
  /** Usable engines that have a target. */
  holders: (service: string, target: string) => readonly Endpoint[];
  /** Whether an endpoint takes any number of requests now. */
  isOpen: (endpoint: Endpoint) => boolean;
  /** Monotonic time until which a request may wait for an endpoint. */
  waitDeadline: (request: RoutedRequest) => number;
  /** Called when requests begin to wait for a target, or are refused. */
  onDemandChanged: () => void;
}

/**
 * Time after the end of its Retry-After for which a refused request still counts as
 * demand, since its caller is expected to retry.
 */
const REFUSED_DEMAND_LIFETIME_MILLISECONDS = 2500;

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
 * Requests that wait until an engine has their model, and models for which callers are
 * expected back.
 */
export class WaitingRequests {
  private readonly waiters = new Map<string, Set<Waiter>>();
  private readonly refused = new Map<string, RefusedDemand>();

  constructor(private readonly options: WaitingRequestsOptions) {}

  /** Ends all waits, so that the requests check whether they can be served. */
  wakeAll(): void {
    for (const waiters of this.waiters.values()) {
      for (const waiter of waiters) waiter.wake();
    }
  }

  /** Ends the waits for targets that an engine has which takes any requests. */
  wakeServable(): void {
    for (const waiters of this.waiters.values()) {
      const [first] = waiters;
      if (first === undefined) continue;
      const {service, metadata} = first.request;
      const holders = this.options.holders(service.name, targetOf(metadata));
      if (!holders.some(holder => this.options.isOpen(holder))) continue;
      for (const waiter of waiters) waiter.wake();
    }
  }

  /** Records that a request was refused and its caller may return. */
  recordRefused(request: RoutedRequest, retryAfterMilliseconds: number): void {
    const now = this.options.clock.monotonicMilliseconds();
    this.refused.set(keyOf(request), {
      request,
      until:
        now +
        Math.min(
          retryAfterMilliseconds,
          (request.deadlineAt - now) * RETURN_SHARE,
        ) +
        REFUSED_DEMAND_LIFETIME_MILLISECONDS,
    });
    this.options.onDemandChanged();
  }

  /** Records that the target of a request can be served. */
  recordServable(request: RoutedRequest): void {
    this.refused.delete(keyOf(request));
  }

  /** Targets that requests wait for, or were refused for recently. */
  counts(): readonly WaitingCount[] {
    const now = this.options.clock.monotonicMilliseconds();
    const refused = [...this.refused].flatMap(([key, {request, until}]) => {
      if (now > until) this.refused.delete(key);
      if (!this.refused.has(key) || this.waiters.has(key)) return [];
      const target = targetOf(request.metadata);
      const {service, priority} = request;
      const holders = this.options.holders(service.name, target);
      const isServable = holders.some(holder => this.options.isOpen(holder));
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

  /** Waits until the request should check again whether it can be served. */
  async wait(request: RoutedRequest, signal: AbortSignal): Promise<void> {
    const {clock, onDemandChanged, waitDeadline} = this.options;
    const key = keyOf(request);
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
        Math.max(1, Math.min(waitDeadline(request) - now, 1000)),
        finish,
      );
      signal.addEventListener('abort', finish, {once: true});
      waiters.add(waiter);
      if (waiters.size === 1) onDemandChanged();
    });
  }
}

function keyOf({service, metadata}: RoutedRequest): string {
  return `${service.name} ${targetOf(metadata)}`;
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
