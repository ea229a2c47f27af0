/** A model that an engine holds in its accelerator. */
export interface HeldModel {
  readonly name: string;
  readonly version: number;
  readonly adapters: readonly string[];
}

/** What an endpoint says of itself in the store. */
export interface EndpointRecord {
  readonly id: string;
  /** Version of the row that the record was read from. */
  readonly rowVersion: number;
  readonly service: string;
  /** IP number and port. */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly state: 'ready' | 'leaving';
  /** Wall-clock start of the process, in Unix milliseconds. */
  readonly startedAt: number;
  /** Time until the endpoint is taken away; undefined when it isn't known. */
  readonly leavesInMilliseconds: number | undefined;
  /** Models in the accelerator; empty for plain services. */
  readonly models: readonly HeldModel[];
  /** Models whose weights lie in the endpoint's main memory. */
  readonly inMemory: readonly string[];
  /** Models whose weights lie on the endpoint's disk. */
  readonly onDisk: readonly string[];
}
