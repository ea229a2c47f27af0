/**
 * Routing of requests to replicas, with the state that pool holders push.
 *
 * ```ts
 * const held = await router.acquire(request);
 * if (held.ok) held.value.release();
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
