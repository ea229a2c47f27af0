import type {EnginePoolConfiguration} from '../deployment/mod.ts';
import type {WaitingTarget} from '../fleet/mod.ts';
import {splitTarget} from './_split_target.ts';
import type {ModelDemand, QueuedDemand} from './model_demand.ts';

/** Input of {@link demandByModel}. */
export interface DemandInput {
  readonly pool: EnginePoolConfiguration;
  /** Targets that requests wait for, over all hosts. */
  readonly waiting: readonly WaitingTarget[];
  /** Requests a second for a model. */
  readonly rateOf: (model: string) => number;
  /**
   * Whether an engine has a model loaded, so that only the adapter is missing.
   */
  readonly isLoaded: (model: string) => boolean;
  /** Milliseconds for which a model has been asked for without a replica. */
  readonly unmetOf: (model: string) => number;
}

/** Request rate below which a model without waiting requests has no demand. */
const MINIMUM_RATE_PER_SECOND = 0.01;

/** Demand for each model of a pool; models without demand are omitted. */
export function demandByModel(
  input: DemandInput,
): ReadonlyMap<string, ModelDemand> {
  const demand = new Map<string, ModelDemand>();
  for (const model of input.pool.models.keys()) {
    const ratePerSecond = input.rateOf(model);
    if (ratePerSecond < MINIMUM_RATE_PER_SECOND) continue;
    demand.set(model, {
      waiting: 0,
      timely: 0,
      waitingForAdapters: 0,
      returning: 0,
      priority: 9,
      waitedMilliseconds: 0,
      unmetMilliseconds: 0,
      ratePerSecond,
    });
  }
  for (const entry of input.waiting) {
    const {model, adapter} = splitTarget(entry.target);
    const known = demand.get(model);
    const isForAdapter = adapter !== undefined && input.isLoaded(model);
    const isAwaited = !entry.isServable && !isForAdapter;
    const isQueued = entry.isServable && entry.isHeld;
    const isAdapterAwaited = !entry.isServable && isForAdapter;
    demand.set(model, {
      waiting: (known?.waiting ?? 0) + (isAwaited ? entry.requests : 0),
      timely: (known?.timely ?? 0) + (isAwaited ? entry.timely : 0),
      waitingForAdapters:
        (known?.waitingForAdapters ?? 0) +
        (isAdapterAwaited ? entry.requests : 0),
      returning:
        (known?.returning ?? 0) + (entry.isServable ? entry.requests : 0),
      priority: Math.min(known?.priority ?? 9, entry.priority),
      // The age of queued requests must not justify evictions of models in use.
      waitedMilliseconds: Math.max(
        known?.waitedMilliseconds ?? 0,
        isQueued ? 0 : entry.waitedMilliseconds,
      ),
      ...queuedDemand(known?.queued, isQueued ? entry : undefined),
      unmetMilliseconds: input.unmetOf(model),
      ratePerSecond: known?.ratePerSecond ?? 0,
    });
  }
  return demand;
}

function queuedDemand(
  known: QueuedDemand | undefined,
  added: QueuedDemand | undefined,
): {queued?: QueuedDemand} {
  if (known === undefined && added === undefined) return {};
  const requests = (known?.requests ?? 0) + (added?.requests ?? 0);
  const waitedMilliseconds = Math.max(
    known?.waitedMilliseconds ?? 0,
    added?.waitedMilliseconds ?? 0,
  );
  return {queued: {requests, waitedMilliseconds}};
}
