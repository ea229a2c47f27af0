import {rendezvousOrder} from '../membership/rendezvous_order.ts';
import type {Endpoint} from './endpoint.ts';

/** Options of {@link chooseEndpoint}. */
export interface ChooseEndpointOptions {
  /** Monotonic time, for endpoints that are paused after failures. */
  now: number;
  /** Incarnations that have failed the request before. */
  excluded: ReadonlySet<string>;
  /** Data centre of this host; preferred among equals. */
  dataCentre: string;
  /** Requests with the same key prefer the same endpoint. */
  affinityKey?: string;
}

/** Share of the slots by which a preferred endpoint may be fuller than the emptiest. */
const AFFINITY_SLACK = 0.15;

/** Weight of the failure share against occupancy. */
const FAILURE_WEIGHT = 2;

/** Advantage of an endpoint in the host's own data centre, in occupancy. */
const LOCAL_ADVANTAGE = 0.08;

/**
 * Chooses the endpoint with the least load and failures.
 *
 * @returns Undefined when no endpoint is left.
 */
export function chooseEndpoint(
  endpoints: readonly Endpoint[],
  options: ChooseEndpointOptions,
): Endpoint | undefined {
  const allowed = endpoints.filter(
    endpoint => !options.excluded.has(endpoint.incarnation),
  );
  const running = allowed.filter(
    endpoint => !endpoint.condition.isPaused(options.now),
  );
  const candidates = running.length > 0 ? running : allowed;
  const rated = candidates
    .map(endpoint => ({endpoint, cost: cost(endpoint, options)}))
    .sort((left, right) => left.cost - right.cost);
  const best = rated[0];
  if (best === undefined || options.affinityKey === undefined) {
    return best?.endpoint;
  }
  const [preferredId] = rendezvousOrder(
    options.affinityKey,
    rated.map(({endpoint}) => endpoint.record.id),
  );
  const preferred = rated.find(
    ({endpoint}) => endpoint.record.id === preferredId,
  );
  return preferred !== undefined && preferred.cost <= best.cost + AFFINITY_SLACK
    ? preferred.endpoint
    : best.endpoint;
}

function cost(endpoint: Endpoint, options: ChooseEndpointOptions): number {
  const isLocal = endpoint.record.dataCentre === options.dataCentre;
  return (
    endpoint.occupancy +
    endpoint.condition.failureRate * FAILURE_WEIGHT -
    (isLocal ? LOCAL_ADVANTAGE : 0)
  );
}
