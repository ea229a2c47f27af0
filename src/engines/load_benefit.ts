import type {ModelDemand} from './model_demand.ts';

/** Time over which the arrivals for a waiting model count as served by its load. */
const GAIN_SECONDS = 2;

/** Wait by which the requests for a model weigh twice as much, so that none starves. */
const AGEING_MILLISECONDS = 2000;

/**
 * Weight of a request that will be late whatever is loaded, against one that
 * can still be punctual. With more demand than turns of engines, an order by
 * age alone makes every request late.
 */
const LATE_WEIGHT = 0.5;

/** Weight of one rank of priority against the number of requests. */
const PRIORITY_BASE = 1.3;

/**
 * What a load of a model gains: the requests that it serves soon, more urgent
 * and older ones weighing more. Many requests for a model that has just become
 * busy go before single ones for rare models, whose weight grows as they wait.
 */
export function loadBenefit(demand: ModelDemand): number {
  const late = (demand.waiting - demand.timely) * LATE_WEIGHT;
  const arriving = demand.ratePerSecond * GAIN_SECONDS;
  const served = demand.timely + late + arriving;
  const ageing = 1 + demand.waitedMilliseconds / AGEING_MILLISECONDS;
  return (served * ageing) / PRIORITY_BASE ** demand.priority;
}
