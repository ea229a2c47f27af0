/** Requests for a loaded model that wait because its engines are full. */
export interface QueuedDemand {
  readonly requests: number;
  /** Time for which the oldest of them has waited. */
  readonly waitedMilliseconds: number;
}

/** Demand for one model and its adapters, summed over all hosts. */
export interface ModelDemand {
  /** Requests waiting because no engine has the model loaded. */
  readonly waiting: number;
  /**
   * Those of them that can still meet their latency objective after a load from
   * disk.
   */
  readonly timely: number;
  /** Requests that wait for an adapter of the model. */
  readonly waitingForAdapters: number;
  /** Refused callers who are expected back soon, now that the model is loaded. */
  readonly returning: number;
  /** Requests that wait for room on the engines that have the model. @default none */
  readonly queued?: QueuedDemand;
  /** Priority of the most urgent waiting request; 0 is the most urgent. */
  readonly priority: number;
  readonly waitedMilliseconds: number;
  /** Time for which the model has been asked for without a replica. */
  readonly unmetMilliseconds: number;
  /** Requests a second, averaged over several seconds. */
  readonly ratePerSecond: number;
}
