/** A replica that a request could use, with what is known of its endpoint. */
export interface ReplicaCandidate {
  readonly endpoint: string;
  readonly dataCentre: string;
  /** Requests of this host in flight to the endpoint. */
  readonly inFlight: number;
  /** Requests on the endpoint by its own report; 0 when unknown. */
  readonly reportedLoad: number;
  /** Whether the endpoint probably caches the prompt's prefix. */
  readonly cachesPrefix: boolean;
}

/** A candidate with its score. */
export interface ScoredReplica {
  readonly endpoint: string;
  /** Expected delay in units of one queued request; lower is better. */
  readonly score: number;
}

/** Options of {@link rankReplicas}. */
export interface RankReplicasOptions {
  /** Data centre of this host. */
  dataCentre: string;
  /** Requests by which another data centre is worse. @default 0.5 */
  otherDataCentrePenalty?: number;
  /** Requests by which a cached prefix is better. @default 4 */
  cachedPrefixBonus?: number;
}

/**
 * Scores candidates, best first. Load reports lag behind, so this host's own
 * requests in flight count at least as much as the report says.
 */
export function rankReplicas(
  candidates: readonly ReplicaCandidate[],
  options: RankReplicasOptions,
): readonly ScoredReplica[] {
  const {
    dataCentre,
    otherDataCentrePenalty = 0.5,
    cachedPrefixBonus = 4,
  } = options;
  return candidates
    .map(candidate => {
      const load = Math.max(candidate.inFlight, candidate.reportedLoad);
      const distance =
        candidate.dataCentre === dataCentre ? 0 : otherDataCentrePenalty;
      const gain = candidate.cachesPrefix ? cachedPrefixBonus : 0;
      return {endpoint: candidate.endpoint, score: load + distance - gain};
    })
    .sort((first, second) => {
      if (first.score !== second.score) return first.score - second.score;
      return first.endpoint < second.endpoint ? -1 : 1;
    });
}
