import {
  balanceEndpoints,
  type BalancedChoice,
  type BalanceEndpointsOptions,
  balancingProbabilities,
  type ChooseEndpointOptions,
  type Endpoint,
  type UnobservedRequests,
} from '../fleet/mod.ts';
import type {EventLogger, Metrics} from '../observability/mod.ts';
import {
  type EndpointPreference,
  type RoutedRequest,
  targetOf,
} from '../relay/mod.ts';
import {affinityKeyOf} from './_affinity_key_of.ts';

/** Options of {@link EndpointBalancer}. */
export interface EndpointBalancerOptions {
  unobserved: UnobservedRequests;
  /** Share of the requests that arrive at hosts of this data centre, 0 to 1. */
  localShare: () => number;
  logger: EventLogger;
  metrics: Metrics;
  /** Returns a random number from 0 to below 1. */
  random: () => number;
}

const CHOICES_METRIC = 'limpetdale_endpoint_choices_total';
const EXCESS_METRIC = 'limpetdale_endpoint_choice_excess';
const UNOBSERVED_METRIC = 'limpetdale_unobserved_requests';

/** Occupancy of the chosen endpoint less the mean of the candidates. */
const EXCESS_BUCKETS = [-0.5, -0.25, -0.1, 0, 0.1, 0.25, 0.5, 1, 2] as const;

const UNOBSERVED_BUCKETS = [0, 1, 3, 10, 30, 100, 300] as const;

/** Load of the busiest endpoint relative to the mean that must not be reached. */
const UNEVEN_RATIO = 2;

/** Mean occupancy below which single requests make the load uneven, at 12 slots. */
const UNEVEN_MEAN_OCCUPANCY = 0.25;

/** Minimum interval between two log lines on uneven load. */
const LOG_INTERVAL_MILLISECONDS = 10_000;

/**
 * Chooses endpoints evenly from delayed counts ({@link balanceEndpoints}), and records
 * how uneven the load is that this host sees.
 */
export class EndpointBalancer {
  private loggedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: EndpointBalancerOptions) {}

  /** Chooses an endpoint for a request; undefined if every one is excluded. */
  choose(
    candidates: readonly Endpoint[],
    request: RoutedRequest,
    options: ChooseEndpointOptions,
  ): Endpoint | undefined {
    const {metrics, random} = this.options;
    const estimate = this.estimate(candidates, request, options);
    const choice = balanceEndpoints(candidates, {...estimate, random});
    if (choice === undefined) return undefined;
    const {endpoint, outcome, meanOccupancy} = choice;
    const excess = endpoint.occupancy - meanOccupancy;
    metrics.increment(CHOICES_METRIC, {outcome});
    metrics.recordValue(EXCESS_METRIC, excess, EXCESS_BUCKETS);
    metrics.recordValue(
      UNOBSERVED_METRIC,
      estimate.unobserved,
      UNOBSERVED_BUCKETS,
    );
    this.logIfUneven(choice, candidates.length, options.now);
    return endpoint;
  }

  /** Probability with which {@link choose} chooses each endpoint; records nothing. */
  probabilities(
    candidates: readonly Endpoint[],
    request: RoutedRequest,
    options: ChooseEndpointOptions,
  ): ReadonlyMap<Endpoint, number> {
    return balancingProbabilities(
      candidates,
      this.estimate(candidates, request, options),
    );
  }

  /** Records that a request is being sent to the endpoint chosen for it. */
  recordSent(request: RoutedRequest, preference: EndpointPreference): void {
    const {unobserved} = this.options;
    const affinityKey = affinityKeyOf(request, preference);
    unobserved.record(targetKeyOf(request));
    if (affinityKey !== undefined) unobserved.record(sessionKey(affinityKey));
  }

  /** Adds what is expected of the other hosts. */
  private estimate(
    candidates: readonly Endpoint[],
    request: RoutedRequest,
    options: ChooseEndpointOptions,
  ): Omit<BalanceEndpointsOptions, 'random'> {
    const {unobserved, localShare} = this.options;
    const {affinityKey} = options;
    const peerRequests = candidates.reduce(
      (sum, {peerInFlight}) => sum + peerInFlight,
      0,
    );
    return {
      ...options,
      unobserved: unobserved.of(targetKeyOf(request), peerRequests),
      unobservedOfKey:
        affinityKey === undefined ? 0 : unobserved.of(sessionKey(affinityKey)),
      localShare: localShare(),
    };
  }

  private logIfUneven(
    {busiest, meanOccupancy}: BalancedChoice,
    candidates: number,
    now: number,
  ): void {
    if (meanOccupancy < UNEVEN_MEAN_OCCUPANCY) return;
    if (busiest.occupancy < UNEVEN_RATIO * meanOccupancy) return;
    if (now - this.loggedAt < LOG_INTERVAL_MILLISECONDS) return;
    this.loggedAt = now;
    this.options.logger.event('endpointLoadUneven', {
      endpoint: busiest.record.id,
      service: busiest.record.service,
      occupancy: busiest.occupancy,
      meanOccupancy,
      candidates,
    });
  }
}

function targetKeyOf({service, metadata}: RoutedRequest): string {
  return `target ${service.name} ${targetOf(metadata)}`;
}

function sessionKey(affinityKey: string): string {
  return `session ${affinityKey}`;
}
