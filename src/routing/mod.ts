/**
 * Routing of requests to replicas, by the replica updates that each pool's
 * controller broadcasts.
 *
 * ```ts
 * const acquired = await router.acquire(request);
 * if (acquired.ok) acquired.value.release();
 * ```
 *
 * @module
 */
export {
  rankReplicas,
  type RankReplicasOptions,
  type ReplicaCandidate,
  type ScoredReplica,
} from './rank_replicas.ts';
export {
  EndpointHealth,
  type EndpointHealthOptions,
  type EngineClientSource,
  type UnusableReason,
} from './endpoint_health.ts';
export {
  type LocalPoolController,
  ReplicaRouter,
  type ReplicaRouterOptions,
} from './replica_router.ts';
export type * from './replica_source.ts';
export {
  type KnownRefusal,
  type KnownReplica,
  ReplicaTable,
  type ReplicaUpdate,
} from './replica_table.ts';
