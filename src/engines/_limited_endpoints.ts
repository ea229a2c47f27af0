import type {Endpoint, EndpointRegistry} from '../fleet/mod.ts';
import type {EndpointLimits, PermitBroker} from '../permits/mod.ts';
import type {NotedResponse, RoutedRequest} from '../relay/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import type {ColdEngines} from './cold_engines.ts';

/** Options of {@link LimitedEndpoints}. */
export interface LimitedEndpointsOptions {
  clock: Clock;
  registry: EndpointRegistry;
  limits: EndpointLimits;
  permits: PermitBroker;
  coldEngines: Pick<ColdEngines, 'rateOf'>;
  /** Tells all hosts that a process has said that it leaves. */
  announceLeaving: (incarnation: string) => void;
}

/** A request and the endpoint that has been chosen for it. */
export interface LimitedCandidate {
  readonly endpoint: Endpoint;
  readonly request: RoutedRequest;
  /** Monotonic time until which the request can wait. */
  readonly waitsUntil: number;
  /** Whether another endpoint can take the request at once. */
  readonly hasOther: boolean;
}

/**
 * Time that a request waits for its turn in place of a refusal: its caller would have to
 * return about then, without a turn of its own.
 */
const SHORT_WAIT_MILLISECONDS = 1000;

/**
 * Time after which a permit for a cold endpoint is void. Permits that a delayed event loop
 * uses later would add to those of the next second; the endpoint's budget covers 250 ms,
 * most of which an answer of the granter may take.
 */
const LATE_MILLISECONDS = 50;

/** Origin of what this host has learned from a response itself, for logs. */
const OWN_RESPONSE = 'response';

/** Endpoints that take no or few requests, as they say in their responses. */
export class LimitedEndpoints {
  /** Ends the waits for permits of each endpoint. */
  private readonly waits = new Map<AbortController, Endpoint>();

  constructor(private readonly options: LimitedEndpointsOptions) {
    const {registry} = options;
    registry.onChange(() =>
      this.endWaits(({record}) => registry.isEvacuated(record)),
    );
  }

  /** Whether an endpoint names a limit. */
  has({incarnation}: Endpoint): boolean {
    return this.options.limits.rateOf(incarnation) !== undefined;
  }

  /** Whether an endpoint takes any number of requests now. */
  isOpen(endpoint: Endpoint): boolean {
    return !this.has(endpoint) && this.closedUntil(endpoint) === undefined;
  }

  /** Monotonic time until which an endpoint takes none; undefined if it takes some. */
  closedUntil({condition}: Endpoint): number | undefined {
    const {closedUntil} = condition;
    const now = this.options.clock.monotonicMilliseconds();
    return closedUntil > now ? closedUntil : undefined;
  }

  /** Whether one of some endpoints takes any number of requests now. */
  isAnyOpen(
    endpoints: readonly Endpoint[],
    excluded: ReadonlySet<string>,
  ): boolean {
    return endpoints.some(
      endpoint => !excluded.has(endpoint.incarnation) && this.isOpen(endpoint),
    );
  }

  /**
   * Whether requests go past an endpoint for which this host gives no permit yet, since it
   * has just been found to be cold and another one takes them at once.
   *
   * @param candidates All endpoints that the request may be sent to.
   */
  isPassedOver(
    {incarnation}: Endpoint,
    candidates: readonly Endpoint[],
    excluded: ReadonlySet<string>,
  ): boolean {
    const {clock, limits} = this.options;
    const phase = limits.coldPhaseOf(incarnation);
    return (
      phase !== undefined &&
      phase.quietUntil > clock.monotonicMilliseconds() &&
      this.isAnyOpen(candidates, excluded)
    );
  }

  /** Records what a response says of its endpoint. */
  observe(
    endpoint: Endpoint,
    {notice, sentAt, isSuccess}: NotedResponse,
  ): void {
    const {incarnation, condition} = endpoint;
    const {clock, registry, limits, coldEngines, announceLeaving} =
      this.options;
    const coldRate = coldEngines.rateOf(endpoint);
    const {coldMilliseconds} = notice;
    if (notice.isLeaving && registry.recordLeaving(incarnation, OWN_RESPONSE))
      announceLeaving(incarnation);
    if (notice.closedMilliseconds !== undefined) {
      const now = clock.monotonicMilliseconds();
      condition.recordClosed(now + notice.closedMilliseconds);
      this.endWaits(waiting => waiting === endpoint);
    }
    limits.observe({
      incarnation,
      ratePerSecond: notice.requestsPerSecond,
      cold:
        coldRate === undefined || coldMilliseconds === undefined
          ? undefined
          : {milliseconds: coldMilliseconds, ratePerSecond: coldRate},
      sentAt,
      isSuccess,
    });
  }

  /**
   * Waits until a request may be sent to an endpoint, at most for as long as it can
   * still meet its latency objective or for a short time. A request does not wait for a
   * cold endpoint if another one takes it at once.
   *
   * @returns Undefined if it may be sent now, else the monotonic time at which its
   *   caller may return.
   */
  async roomAt(
    candidate: LimitedCandidate,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    const {endpoint, request, waitsUntil, hasOther} = candidate;
    const {clock, limits, permits, registry} = this.options;
    const {incarnation} = endpoint;
    const giveUpAt =
      clock.monotonicMilliseconds() + this.permitHorizon(request, waitsUntil);
    for (;;) {
      const closedUntil = this.closedUntil(endpoint);
      if (closedUntil !== undefined) return closedUntil;
      if (!this.has(endpoint)) return undefined;
      const isCold = limits.coldPhaseOf(incarnation) !== undefined;
      const horizon = giveUpAt - clock.monotonicMilliseconds();
      const permit = await permits.acquire(
        incarnation,
        isCold && hasOther ? 0 : horizon,
      );
      if (permit.kind === 'denied') return permit.returnAt;
      const delay = permit.at - clock.monotonicMilliseconds();
      if (delay > 0) await this.waitForPermit(endpoint, delay, signal);
      const now = clock.monotonicMilliseconds();
      // The endpoint may have begun to leave or been evacuated meanwhile.
      if (!registry.usable(request.service.name).includes(endpoint)) return now;
      if (isCold && signal.aborted) return now;
      // It may have asked for no requests meanwhile.
      const closedAgain = this.closedUntil(endpoint);
      if (closedAgain !== undefined) return closedAgain;
      if (this.isValid(permit.at, incarnation, isCold)) return undefined;
    }
  }

  /** Whether a request may be sent now with a permit for a time. */
  private isValid(at: number, incarnation: string, wasCold: boolean): boolean {
    const {clock, limits} = this.options;
    // A permit of a named limit says nothing of a cold phase that has begun meanwhile.
    if (!wasCold) return limits.coldPhaseOf(incarnation) === undefined;
    return clock.monotonicMilliseconds() <= at + LATE_MILLISECONDS;
  }

  /** Longest milliseconds that a request waits for a permit. */
  permitHorizon(request: RoutedRequest, waitsUntil: number): number {
    return Math.min(
      Math.max(SHORT_WAIT_MILLISECONDS, request.route.objectiveMilliseconds),
      waitsUntil - this.options.clock.monotonicMilliseconds(),
    );
  }

  /** Ends the waits for permits of some endpoints, so that others are chosen. */
  private endWaits(isMet: (endpoint: Endpoint) => boolean): void {
    for (const [wait, endpoint] of this.waits)
      if (isMet(endpoint)) wait.abort();
  }

  /** Ends early once the endpoint is evacuated or asks for no requests. */
  private async waitForPermit(
    endpoint: Endpoint,
    milliseconds: number,
    signal: AbortSignal,
  ): Promise<void> {
    const wait = new AbortController();
    this.waits.set(wait, endpoint);
    const end = () => wait.abort();
    signal.addEventListener('abort', end, {once: true});
    if (signal.aborted) end();
    await sleep(this.options.clock, milliseconds, wait.signal);
    signal.removeEventListener('abort', end);
    this.waits.delete(wait);
  }
}
