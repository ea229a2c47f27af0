/** Demand and replicas of a pool at one time. */
export interface DemandObservation {
  /** Models that requests wait for, or are expected to be sent again for. */
  readonly awaited: Iterable<string>;
  readonly isLoaded: (model: string) => boolean;
  /** Monotonic time. */
  readonly now: number;
}

/**
 * Remembers since when each model is asked for without a replica, also between the
 * requests: callers that are refused leave no request behind that waits.
 */
export class UnmetDemand {
  private readonly since = new Map<string, number>();

  /** Records the demand of a placement round. */
  update({awaited, isLoaded, now}: DemandObservation): void {
    for (const model of [...this.since.keys()]) {
      if (isLoaded(model)) this.since.delete(model);
    }
    for (const model of awaited) {
      if (!this.since.has(model) && !isLoaded(model))
        this.since.set(model, now);
    }
  }

  /** Milliseconds for which a model has been asked for without a replica. */
  ageOf(model: string, now: number): number {
    const since = this.since.get(model);
    return since === undefined ? 0 : now - since;
  }

  /** Forgets all demand. */
  clear(): void {
    this.since.clear();
  }
}
