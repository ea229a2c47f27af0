import type {EnginePoolConfiguration} from '../deployment/mod.ts';

/** Request rate from which the required replicas of a model are not evicted. */
export const BUSY_RATE_PER_SECOND = 0.5;

/**
 * Request rate from which a model has two replicas whatever its load. With only
 * one, an engine crash delays the requests of about one second.
 */
const REPLICATED_RATE_PER_SECOND = 3;

/**
 * Hysteresis, as a fraction of one replica's load, before a replica may be
 * removed. Prevents repeated loading and evicting.
 */
const REPLICA_HYSTERESIS = 0.25;

/**
 * Share of an engine's slots that one model's requests may occupy before
 * another replica is added. Engines process prompts between the decoding steps
 * of running requests, so first tokens are late long before the slots are full.
 */
const REPLICA_OCCUPANCY = 0.35;

/**
 * Replicas are added below the minimum and may be removed above the maximum.
 */
export interface ReplicaRange {
  readonly minimum: number;
  readonly maximum: number;
  /**
   * Replicas required by the load; further ones are standby in case of a crash.
   */
  readonly required: number;
}

/**
 * Replica range for the demand of a model.
 *
 * @param queued Requests for which the engines that have the model have no room.
 */
export function desiredReplicas(
  pool: EnginePoolConfiguration,
  ratePerSecond: number,
  inFlight: number,
  queued = 0,
): ReplicaRange {
  if (ratePerSecond < BUSY_RATE_PER_SECOND && queued === 0) {
    return {minimum: 1, maximum: 1, required: 1};
  }
  const load =
    (inFlight + queued) / Math.max(1, pool.slots * REPLICA_OCCUPANCY);
  const minimumForRate = ratePerSecond < REPLICATED_RATE_PER_SECOND ? 1 : 2;
  const required = 1 + Math.floor(load + REPLICA_HYSTERESIS);
  return {
    minimum: Math.max(minimumForRate, 1 + Math.floor(load)),
    maximum: Math.max(minimumForRate, required),
    required,
  };
}
