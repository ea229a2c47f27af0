/**
 * Registries of known endpoints and hosts, their load, and endpoint selection.
 *
 * ```ts
 * const registry = new EndpointRegistry(options);
 * registry.applySnapshot(records);
 * const usable = registry.usable('ordering');
 * ```
 *
 * @module
 */
export {
  Endpoint,
  type EndpointObserver,
  IDLE_CONNECTION_MILLISECONDS,
  incarnationOf,
} from './endpoint.ts';
export {
  EndpointCondition,
  type EndpointConditionOptions,
} from './endpoint_condition.ts';
export {
  EndpointRegistry,
  type EndpointRegistryOptions,
  LAPSE_GRACE_MILLISECONDS,
} from './endpoint_registry.ts';
export {
  EvacuatedDataCentres,
  type EvacuatedDataCentresOptions,
  type EvacuationSource,
} from './evacuated_data_centres.ts';
export {
  decodeHostRow,
  encodeHostRow,
  type HostRow,
  hostRowSchema,
} from './host_row.ts';
export {
  chooseActiveHosts,
  MAXIMUM_ACTIVE_HOSTS,
  MINIMUM_ACTIVE_HOSTS,
} from './choose_active_hosts.ts';
export {
  FleetTopology,
  type FleetTopologyOptions,
  REPLACEMENT_MILLISECONDS,
} from './fleet_topology.ts';
export {FleetShares, type FleetSharesOptions} from './fleet_shares.ts';
export {hostsForCaller} from './hosts_for_caller.ts';
export {HostRegistry, type HostRegistryOptions} from './host_registry.ts';
export {FleetLoad, type FleetLoadOptions} from './fleet_load.ts';
export {arrivalKey, waitingKey, type WaitingTarget} from './host_demand.ts';
export type {
  ArrivalCount,
  HostLoad,
  InFlightCount,
  WaitingCount,
} from './load_report.ts';
export {
  type ReportDisposition,
  type ReportPosition,
  ReportSequence,
} from './report_sequence.ts';
export {
  hasChanges,
  type StateChanges,
  StateTracker,
  type StateTrackerOptions,
} from './state_tracker.ts';
export {
  chooseEndpoint,
  type ChooseEndpointOptions,
  rankEndpoints,
} from './choose_endpoint.ts';
export {
  balanceEndpoints,
  balancingProbabilities,
  type BalancedChoice,
  type BalanceEndpointsOptions,
  type BalancingOutcome,
} from './balance_endpoints.ts';
export {
  UnobservedRequests,
  type UnobservedRequestsOptions,
} from './unobserved_requests.ts';
export {chooseGranter, type GranterInput} from './choose_granter.ts';
export {LruSet} from './lru_set.ts';
export {
  FINAL_HOPS,
  type Forwarding,
  type ForwardingInput,
  planForwarding,
} from './plan_forwarding.ts';
