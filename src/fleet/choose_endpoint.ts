import {rendezvousOrder} from '../membership/rendezvous_order.ts';
import type {Endpoint} from './endpoint.ts';

/** Options of {@link chooseEndpoint}. */
export interface ChooseEndpointOptions {
  /** Monotonic time; decides which endpoints are paused after failures. */
  now: number;
  /** Incarnations of endpoints that have already failed the request. */
  excluded: ReadonlySet<string>;
  /** Data centre of this host; its endpoints are preferred at similar load. */
  dataCentre: string;
  /** Whether an endpoint takes a limited number of requests. @default none does */
  isLimited?: (endpoint: Endpoint) => boolean;
  /** Requests with the same key prefer the same endpoint. */
  affinityKey?: string;
}

/**
 * Cost by which the endpoint preferred by affinity may exceed the cheapest one,
 * as a share of the slots.
 */
export const AFFINITY_TOLERANCE = 0.15;

/** Weight of the failure rate relative to occupancy. */
const FAILURE_WEIGHT = 2;

/** Cost of an endpoint that asks for fewer requests, in occupancy. */
const LIMITED_COST = 0.5;

/** Cost reduction of an endpoint in the host's data centre, in occupancy. */
const LOCAL_ADVANTAGE = 0.08;

/**
 * Chooses the endpoint with the lowest cost, which combines occupancy, failure
 * rate and locality. Paused endpoints are used only if all others are excluded.
 *
 * @returns Undefined if every endpoint is excluded.
 */
export function chooseEndpoint(
  endpoints: readonly Endpoint[],
  options: ChooseEndpointOptions,
): Endpoint | undefined {
  const ranked = rankEndpoints(endpoints, options);
  const best = ranked[0];
  if (best === undefined || options.affinityKey === undefined) {
    return best?.endpoint;
  }
  const preferred = preferredByAffinity(ranked, options.affinityKey);
  return preferred !== undefined &&
    preferred.cost <= best.cost + AFFINITY_TOLERANCE
    ? preferred.endpoint
    : best.endpoint;
}

/** An endpoint and its cost, in occupancy (a share of its slots). */
export interface RankedEndpoint {
  readonly endpoint: Endpoint;
  readonly cost: number;
}

/**
 * Returns the endpoints that a request may be sent to, cheapest first. Paused ones
 * are included only if all others are excluded.
 */
export function rankEndpoints(
  endpoints: readonly Endpoint[],
  options: ChooseEndpointOptions,
): readonly RankedEndpoint[] {
  const allowed = endpoints.filter(
    endpoint => !options.excluded.has(endpoint.incarnation),
  );
  const available = allowed.filter(
    endpoint => !endpoint.condition.isPaused(options.now),
  );
  const candidates = available.length > 0 ? available : allowed;
  return candidates
    .map(endpoint => ({endpoint, cost: cost(endpoint, options)}))
    .sort((left, right) => left.cost - right.cost);
}

/** Returns the endpoint that requests with an affinity key prefer on all hosts. */
export function preferredByAffinity(
  ranked: readonly RankedEndpoint[],
  affinityKey: string,
): RankedEndpoint | undefined {
  const [preferredId] = rendezvousOrder(
    affinityKey,
    ranked.map(({endpoint}) => endpoint.record.id),
  );
  return ranked.find(({endpoint}) => endpoint.record.id === preferredId);
}

function cost(endpoint: Endpoint, options: ChooseEndpointOptions): number {
  const isLocal = endpoint.record.dataCentre === options.dataCentre;
  return (
    endpoint.occupancy +
    endpoint.condition.failureRate * FAILURE_WEIGHT +
    (options.isLimited?.(endpoint) === true ? LIMITED_COST : 0) -
    (isLocal ? LOCAL_ADVANTAGE : 0)
  );
}
