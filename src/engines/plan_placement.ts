import type {EnginePoolConfiguration} from '../deployment/mod.ts';
import {PlacementPlan} from './_placement_plan.ts';
import type {ModelDemand} from './model_demand.ts';
import type {EngineSnapshot} from './engine_snapshot.ts';
import type {PlannedLoad} from './planned_load.ts';

/** Input of {@link planPlacement}. */
export interface PlacementInput {
  readonly pool: EnginePoolConfiguration;
  readonly engines: readonly EngineSnapshot[];
  /** Demand by model; models without demand are omitted. */
  readonly demand: ReadonlyMap<string, ModelDemand>;
  /** Loads from the weight store that may start now. */
  readonly remoteLoadsAllowed: number;
  /** Loads from the weight store in progress. */
  readonly remoteLoadsRunning: number;
  /**
   * Number of the allowed loads that may be preloads, for which no request
   * waits.
   */
  readonly preloadsAllowed: number;
  /**
   * Whether all replicas that a model lacks are loaded at the same time, in place of one
   * after the other. @default false
   */
  readonly loadsReplicasTogether?: boolean;
}

/**
 * Decides which models to load on which engines. Designed for requests to many
 * rarely used models at once beside a few busy ones: requests for the same
 * model share one load, the engine with the nearest copy of the weights is
 * preferred, busy models keep their replicas, and models of which no engine has
 * a copy are preloaded while the weight store has capacity.
 *
 * @returns At most one load for each available engine.
 */
export function planPlacement(input: PlacementInput): readonly PlannedLoad[] {
  const plan = new PlacementPlan(input);
  plan.loadWaitingModels();
  plan.addReplicas();
  plan.preload();
  return plan.loads;
}
