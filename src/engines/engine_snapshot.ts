/** What the manager knows of one engine. */
export interface EngineSnapshot {
  readonly id: string;
  /** Models in the accelerator. */
  readonly models: ReadonlySet<string>;
  /** Adapters in the accelerator, with their models' names before a slash. */
  readonly adapters: ReadonlySet<string>;
  /** Model that is on its way to the accelerator. */
  readonly loading: string | undefined;
  /** Time until the engine can take another order; 0 when it can now. */
  readonly busyMilliseconds: number;
  readonly inMemory: ReadonlySet<string>;
  readonly onDisk: ReadonlySet<string>;
  /** Unfinished requests by model, adapters included. */
  readonly inFlight: ReadonlyMap<string, number>;
  /** Models that were loaded so lately that their requests may not be counted yet. */
  readonly recentlyLoaded: ReadonlySet<string>;
  /** Time since the models' loads, in milliseconds; only of loads by this manager. */
  readonly loadAges: ReadonlyMap<string, number>;
}
