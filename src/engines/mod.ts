/**
 * Placement of models on engines: demand, load planning, orders to engines and
 * replica tracking.
 *
 * ```ts
 * const loads = planPlacement({
 *   pool,
 *   engines,
 *   demand,
 *   remoteLoadsAllowed: 4,
 *   remoteLoadsRunning: 0,
 *   preloadsAllowed: 2,
 * });
 * ```
 *
 * @module
 */
export {ArrivalRates} from './arrival_rates.ts';
export {ColdEngines, type ColdEnginesOptions} from './cold_engines.ts';
export {
  EndpointBalancer,
  type EndpointBalancerOptions,
} from './endpoint_balancer.ts';
export {EndpointRouter} from './endpoint_router.ts';
export type {EndpointRouterOptions} from './endpoint_router_options.ts';
export type {
  EngineControl,
  EngineOrder,
  EngineReport,
  EngineReportError,
  OrderOutcome,
} from './engine_control.ts';
export {EngineState, type PendingOrder} from './engine_state.ts';
export {expectedRates} from './expected_rates.ts';
export {
  type ForecastInput,
  forecastLoads,
  type LoadForecast,
} from './forecast_loads.ts';
export {loadBenefit} from './load_benefit.ts';
export type {LoadTier} from './load_tier.ts';
export {
  type AdmissionFigures,
  type EndpointExplanation,
  EXCLUSION_REASONS,
  type ExclusionReason,
  type PlacementExplanation,
  type PlacementOutcome,
} from './placement_explanation.ts';
export type {ModelDemand} from './model_demand.ts';
export {type PlacementInput, planPlacement} from './plan_placement.ts';
export type {EngineSnapshot} from './engine_snapshot.ts';
export type {PlannedLoad} from './planned_load.ts';
export {PoolLease} from './pool_lease.ts';
export type {LeaseRenewal} from './lease_renewal.ts';
export type {LeaseTerm} from './lease_term.ts';
export type {PoolLeaseOptions} from './pool_lease_options.ts';
export {PoolManager} from './pool_manager.ts';
export type {PoolManagerOptions} from './pool_manager_options.ts';
export {
  RemoteLoadBudget,
  type RemoteLoadBudgetOptions,
} from './remote_load_budget.ts';
export {
  ANNOUNCEMENT_LIFETIME_MILLISECONDS,
  type AnnouncedOrders,
  type ReplicaAnnouncement,
  ReplicaMap,
  type ReplicaMapOptions,
} from './replica_map.ts';
export {type DemandObservation, UnmetDemand} from './unmet_demand.ts';
export {ReplicaAnnouncer} from './replica_announcer.ts';
export type {EngineTargets, ReplicaState} from './replica_state.ts';
