import type {ModelDemand} from './model_demand.ts';

/** Period over which expected arrivals count towards the benefit of a load. */
const GAIN_SECONDS = 2;

/**
 * Waiting time after which the requests for a model count twice as much.
 * Prevents starvation.
 */
const AGEING_MILLISECONDS = 2000;

/**
 * Weight of a request that can no longer meet its latency objective, relative
 * to one that still can. If demand exceeds what the engines can load, ordering
 * by age alone would make every request late.
 */
const LATE_WEIGHT = 0.5;

/** Factor by which one priority level outweighs the number of requests. */
const PRIORITY_BASE = 1.3;

/**
 * Time for which a model is asked for without a replica before that counts as a
 * wait, in milliseconds. Most refused callers are served when they come back; those
 * of the same model that never are must not lose to all others for ever.
 */
const STARVED_AFTER_MILLISECONDS = 5000;

/**
 * Milliseconds for which the requests for a model count as waiting: those of its
 * oldest request, or of its refused callers if there has been no replica for long.
 */
export function effectiveWait(
  demand: Pick<ModelDemand, 'unmetMilliseconds' | 'waitedMilliseconds'>,
): number {
  return Math.max(
    demand.waitedMilliseconds,
    demand.unmetMilliseconds - STARVED_AFTER_MILLISECONDS,
  );
}

/**
 * Benefit of loading a model: the number of requests it will soon serve,
 * weighted by priority and waiting time. Many requests for a model that has
 * just become busy take precedence over single requests for rarely used models,
 * whose weight grows while they wait.
 */
export function loadBenefit(demand: ModelDemand): number {
  const late = (demand.waiting - demand.timely) * LATE_WEIGHT;
  const arriving = demand.ratePerSecond * GAIN_SECONDS;
  const served = demand.timely + late + arriving;
  const ageing = 1 + effectiveWait(demand) / AGEING_MILLISECONDS;
  return (served * ageing) / PRIORITY_BASE ** demand.priority;
}
