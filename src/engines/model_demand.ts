/** Demand for one model, its adapters included, over all hosts. */
export interface ModelDemand {
  /** Requests that wait because no engine holds the model. */
  readonly waiting: number;
  /** Of these, requests that a load from disk still serves within their objective. */
  readonly timely: number;
  /** Requests that wait for an adapter of the model. */
  readonly waitingForAdapters: number;
  /** Rank of the most urgent waiting request; 0 first. */
  readonly priority: number;
  readonly waitedMilliseconds: number;
  /** Requests a second, over some seconds. */
  readonly ratePerSecond: number;
}
