/** State of one engine as seen by placement. */
export interface EngineSnapshot {
  readonly id: string;
  /** Models in the accelerator. */
  readonly models: ReadonlySet<string>;
  /** Adapters in the accelerator, as `model/adapter`. */
  readonly adapters: ReadonlySet<string>;
  /** Model being loaded into the accelerator, or about to be. */
  readonly loading: string | undefined;
  /** Time until the engine can accept another order; 0 if it can now. */
  readonly busyMilliseconds: number;
  readonly inMemory: ReadonlySet<string>;
  readonly onDisk: ReadonlySet<string>;
  /** Unfinished requests by model, including those for its adapters. */
  readonly inFlight: ReadonlyMap<string, number>;
  /**
   * Models loaded so recently that `inFlight` may not include their requests
   * yet.
   */
  readonly recentlyLoaded: ReadonlySet<string>;
  /** Requests a second that the engine takes; undefined if it names no limit. */
  readonly requestsPerSecond: number | undefined;
  /** Milliseconds since each model was loaded; only loads by this manager. */
  readonly loadAges: ReadonlyMap<string, number>;
}
