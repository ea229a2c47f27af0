/**
 * Placement of replicas: the host that holds a pool's lease decides which
 * models and adapters to load and unload on which engine.
 *
 * ```ts
 * const controllers = new PoolControllers({
 *   ...services,
 *   unusableReason,
 *   applyLocally,
 * });
 * controllers.start();
 * ```
 *
 * @module
 */
export {CostPolicy, type CostPolicyOptions} from './cost_policy.ts';
export {replicaLimit} from './replica_limit.ts';
export {
  EngineLedger,
  type LedgerEvent,
  type LedgerOrder,
} from './engine_ledger.ts';
export {IdleGapHistogram} from './idle_gap_histogram.ts';
export {
  type Intent,
  IntentLog,
  type IntentLogOptions,
  type RecordedIntents,
} from './intent_log.ts';
export type {
  PlacementEstimate,
  PlacementPolicy,
  PlacementStep,
} from './placement_policy.ts';
export {PoolController, type PoolControllerOptions} from './pool_controller.ts';
export {
  PoolControllers,
  type PoolControllersOptions,
} from './pool_controllers.ts';
export type {
  EngineView,
  LedgerState,
  PoolView,
  ReplicaView,
  StoreView,
  TargetView,
  TeamDemand,
} from './pool_view.ts';
export {StoreSpeedEstimator} from './store_speed_estimator.ts';
