import type {EnginePoolConfiguration} from '../deployment/mod.ts';

/** Rate from which the last replicas of a model are not evicted for others. */
export const BUSY_RATE_PER_SECOND = 0.5;

/**
 * Rate from which a model has two replicas whatever its load: a crash of the
 * only engine makes the requests of about a second late.
 */
const REPLICATED_RATE_PER_SECOND = 3;

/** Part of a further replica's load below which it may go; avoids swings. */
const REPLICA_HYSTERESIS = 0.25;

/**
 * Share of an engine's slots that one model's requests may take before another
 * replica is wanted. Prompts are read between the tokens of running requests,
 * so first tokens are late long before the slots are full.
 */
const REPLICA_OCCUPANCY = 0.35;

/** Replicas of a model below which some are added, and above which some may go. */
export interface ReplicaRange {
  readonly minimum: number;
  readonly maximum: number;
  /** Replicas that the runs need; those beyond guard against a crash. */
  readonly required: number;
}

/** Replicas that the demand for a model calls for; the range avoids swings. */
export function desiredReplicas(
  pool: EnginePoolConfiguration,
  ratePerSecond: number,
  inFlight: number,
): ReplicaRange {
  if (ratePerSecond < BUSY_RATE_PER_SECOND) {
    return {minimum: 1, maximum: 1, required: 1};
  }
  const load = inFlight / Math.max(1, pool.slots * REPLICA_OCCUPANCY);
  const minimumForRate = ratePerSecond < REPLICATED_RATE_PER_SECOND ? 1 : 2;
  const required = 1 + Math.floor(load + REPLICA_HYSTERESIS);
  return {
    minimum: Math.max(minimumForRate, 1 + Math.floor(load)),
    maximum: Math.max(minimumForRate, required),
    required,
  };
}
