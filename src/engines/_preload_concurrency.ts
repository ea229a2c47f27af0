import type {ModelDemand} from './model_demand.ts';

/** Maximum concurrent preloads while no request waits for a load. */
const PRELOAD_CONCURRENCY = 4;

/**
 * Maximum concurrent preloads while requests wait. Lower, because each load
 * blocks an engine for seconds.
 */
const BUSY_PRELOAD_CONCURRENCY = 2;

/** Maximum concurrent preloads at a demand. */
export function preloadConcurrency(
  demand: ReadonlyMap<string, ModelDemand>,
): number {
  const hasWaitingRequests = [...demand.values()].some(
    ({waiting}) => waiting > 0,
  );
  return hasWaitingRequests ? BUSY_PRELOAD_CONCURRENCY : PRELOAD_CONCURRENCY;
}
