import {
  AFFINITY_TOLERANCE,
  type ChooseEndpointOptions,
  preferredByAffinity,
  type RankedEndpoint,
  rankEndpoints,
} from './choose_endpoint.ts';
import type {Endpoint} from './endpoint.ts';

/** Options of {@link balanceEndpoints}. */
export interface BalanceEndpointsOptions extends ChooseEndpointOptions {
  /** Requests that other hosts have probably sent to the endpoints since the counts. */
  unobserved: number;
  /** Those of them that have the same affinity key. */
  unobservedOfKey: number;
  /** Share of the requests that arrive at hosts of this data centre, 0 to 1. */
  localShare: number;
  /** Returns a random number from 0 to below 1. */
  random: () => number;
}

/** Why an endpoint was chosen, for metrics. */
export type BalancingOutcome = 'affinity' | 'local' | 'spread';

/** Result of {@link balanceEndpoints}. */
export interface BalancedChoice {
  readonly endpoint: Endpoint;
  readonly outcome: BalancingOutcome;
  /** Endpoint with the highest occupancy, as this host sees them. */
  readonly busiest: Endpoint;
  /** Mean occupancy of the candidates, as this host sees them. */
  readonly meanOccupancy: number;
}

/** Costs that differ by less are equal; far less than one request of any endpoint. */
const EQUAL_COST = 1e-9;

/** Part of a candidate that unobserved requests are expected to fill. */
interface Share {
  readonly endpoint: Endpoint;
  readonly requests: number;
}

/**
 * Chooses an endpoint from delayed counts. The requests that other hosts have probably
 * sent since are distributed over the cheapest endpoints so that these reach a common
 * level (water-filling), and one of them is chosen at random in proportion to its part.
 *
 * Load condition: many hosts choose at the same moment from the same counts, and would
 * all choose the endpoint with the lowest cost. Without unobserved requests, an
 * endpoint with the lowest cost is chosen.
 *
 * @returns Undefined if every endpoint is excluded.
 */
export function balanceEndpoints(
  endpoints: readonly Endpoint[],
  options: BalanceEndpointsOptions,
): BalancedChoice | undefined {
  const ranked = rankEndpoints(endpoints, options);
  if (ranked.length === 0) return undefined;
  const level = levelOf(ranked, options.unobserved);
  const choice =
    chooseByAffinity(ranked, level, options) ??
    chooseByShare(ranked, level, options);
  let sum = 0;
  let busiest = choice.endpoint;
  for (const {endpoint} of ranked) {
    sum += endpoint.occupancy;
    if (endpoint.occupancy > busiest.occupancy) busiest = endpoint;
  }
  return {...choice, busiest, meanOccupancy: sum / ranked.length};
}

/**
 * Returns the probability with which {@link balanceEndpoints} chooses each endpoint;
 * those that it does not choose are left out.
 */
export function balancingProbabilities(
  endpoints: readonly Endpoint[],
  options: Omit<BalanceEndpointsOptions, 'random'>,
): ReadonlyMap<Endpoint, number> {
  const ranked = rankEndpoints(endpoints, options);
  if (ranked.length === 0) return new Map();
  const level = levelOf(ranked, options.unobserved);
  const preferred = chooseByAffinity(ranked, level, options);
  if (preferred !== undefined) return new Map([[preferred.endpoint, 1]]);
  const {local, remote, localPart} = sharesBelow(ranked, level, options);
  const localProbability =
    local.length === 0 ? 0 : Math.min(1, localPart / options.localShare);
  const probabilities = new Map<Endpoint, number>();
  for (const [shares, probability] of [
    [local, localProbability],
    [remote, 1 - localProbability],
  ] as const) {
    for (const {endpoint, requests} of shares)
      probabilities.set(endpoint, (probability * requests) / sumOf(shares));
  }
  return probabilities;
}

/** Cost that the cheapest endpoints reach when they get a number of requests. */
function levelOf(ranked: readonly RankedEndpoint[], requests: number): number {
  let slots = 0;
  let filled = 0;
  let level = 0;
  for (const {endpoint, cost} of ranked) {
    if (slots > 0 && cost * slots - filled >= requests) break;
    slots += slotsOf(endpoint);
    filled += cost * slotsOf(endpoint);
    level = (requests + filled) / slots;
  }
  return level;
}

/**
 * Chooses the endpoint preferred by affinity, unless it exceeds the common level by more
 * than the prompt that it need not read again is worth. All hosts choose the same one
 * for a key, so the unobserved requests with this key count as its own.
 */
function chooseByAffinity(
  ranked: readonly RankedEndpoint[],
  level: number,
  {
    affinityKey,
    unobservedOfKey,
  }: Pick<BalanceEndpointsOptions, 'affinityKey' | 'unobservedOfKey'>,
): Pick<BalancedChoice, 'endpoint' | 'outcome'> | undefined {
  if (affinityKey === undefined) return undefined;
  const preferred = preferredByAffinity(ranked, affinityKey);
  if (preferred === undefined) return undefined;
  const {endpoint, cost} = preferred;
  const expected = cost + unobservedOfKey / slotsOf(endpoint);
  return expected <= level + AFFINITY_TOLERANCE
    ? {endpoint, outcome: 'affinity'}
    : undefined;
}

/** Chooses one of the endpoints below the common level at random. */
function chooseByShare(
  ranked: readonly RankedEndpoint[],
  level: number,
  options: BalanceEndpointsOptions,
): Pick<BalancedChoice, 'endpoint' | 'outcome'> {
  const {localShare, random} = options;
  const {local, remote, localPart} = sharesBelow(ranked, level, options);
  const isLocal = local.length > 0 && random() * localShare < localPart;
  return {
    endpoint: pick(isLocal ? local : remote, random()),
    outcome: isLocal ? 'local' : 'spread',
  };
}

/** Shares of the endpoints below the common level, by locality. */
function sharesBelow(
  ranked: readonly RankedEndpoint[],
  level: number,
  {dataCentre}: Pick<BalanceEndpointsOptions, 'dataCentre'>,
) {
  const shares = ranked
    .filter(({cost}) => cost <= level + EQUAL_COST)
    .map(({endpoint, cost}) => ({
      endpoint,
      requests: slotsOf(endpoint) * Math.max(level - cost, EQUAL_COST),
    }));
  const isInDataCentre = ({endpoint}: Share) =>
    endpoint.record.dataCentre === dataCentre;
  const local = shares.filter(isInDataCentre);
  // If the hosts of each data centre prefer its endpoints with this probability, each
  // data centre gets the same requests as without a preference.
  const localPart = sumOf(local) / sumOf(shares);
  const remote = shares.filter(share => !isInDataCentre(share));
  return {local, remote, localPart};
}

/** Picks one of at least one endpoint in proportion to their shares. */
function pick(shares: readonly Share[], random: number): Endpoint {
  let remaining = random * sumOf(shares);
  const picked = shares.find(({requests}) => (remaining -= requests) < 0);
  return (picked ?? shares.at(-1)!).endpoint;
}

function sumOf(shares: readonly Share[]): number {
  return shares.reduce((sum, {requests}) => sum + requests, 0);
}

function slotsOf({record}: Endpoint): number {
  return Math.max(1, record.slots);
}
