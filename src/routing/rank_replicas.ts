/** A replica that a request could use, with the state of its endpoint. */
export interface ReplicaCandidate {
  readonly endpoint: string;
  readonly dataCentre: string;
  /** Requests of this host that are in flight on the endpoint. */
  readonly inFlight: number;
  /** Requests running and queued by the endpoint's report; 0 if unknown. */
  readonly reportedLoad: number;
  /** Whether the endpoint probably has the prompt's prefix cached. */
  readonly cachesPrefix: boolean;
}

/** A candidate with its score. */
export interface ScoredReplica {
  readonly endpoint: string;
  /** Expected delay, measured in queued requests; lower is better. */
  readonly score: number;
}

/** Options of {@link rankReplicas}. */
export interface RankReplicasOptions {
  /** Data centre of this host. */
  dataCentre: string;
  /** Requests added to the score in another data centre. @default 0.5 */
  otherDataCentrePenalty?: number;
  /** Requests subtracted from the score for a cached prefix. @default 4 */
  cachedPrefixBonus?: number;
}

/**
 * Scores candidates and returns them with the best first. Reported load lags
 * behind, so the load of an endpoint is the larger of the report and this
 * host's own requests in flight.
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
      const penalty =
        candidate.dataCentre === dataCentre ? 0 : otherDataCentrePenalty;
      const bonus = candidate.cachesPrefix ? cachedPrefixBonus : 0;
      return {endpoint: candidate.endpoint, score: load + penalty - bonus};
    })
    .sort((first, second) => {
      if (first.score !== second.score) return first.score - second.score;
      return first.endpoint < second.endpoint ? -1 : 1;
    });
}
