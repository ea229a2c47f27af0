import type {EnginePoolConfiguration} from '../deployment/mod.ts';
import {PlacementPlan} from './_placement_plan.ts';
import type {ModelDemand} from './model_demand.ts';
import type {EngineSnapshot} from './engine_snapshot.ts';
import type {PlannedLoad} from './planned_load.ts';

/** Input of {@link planPlacement}. */
export interface PlacementInput {
  readonly pool: EnginePoolConfiguration;
  readonly engines: readonly EngineSnapshot[];
  /** Demand by model; models without any are left out. */
  readonly demand: ReadonlyMap<string, ModelDemand>;
  /** Loads from the weight store that may start now. */
  readonly remoteLoadsAllowed: number;
  /** Loads from the weight store that are under way. */
  readonly remoteLoadsRunning: number;
  /** Of these, loads that nobody waits for. */
  readonly preloadsAllowed: number;
}

/**
 * Decides which models to load where. Answers the pattern in which many rare
 * models are asked for at once beside a few busy ones: waiting requests share
 * one load, the engine with the nearest copy is taken, busy models keep their
 * replicas, and models that no engine has a copy of are fetched ahead while
 * the weight store is idle.
 *
 * @returns At most one load for each engine that is free.
 */
export function planPlacement(input: PlacementInput): readonly PlannedLoad[] {
  const plan = new PlacementPlan(input);
  plan.loadWaitingModels();
  plan.addReplicas();
  plan.preload();
  return plan.loads;
}
