/** A model in an engine's accelerator. */
export interface HeldModel {
  readonly name: string;
  readonly version: number;
  readonly adapters: readonly string[];
}

/** Record in which an endpoint describes itself in the store. */
export interface EndpointRecord {
  readonly id: string;
  /** Version of the row that the record was read from. */
  readonly rowVersion: number;
  readonly service: string;
  /** Version of the endpoint's software; empty if its row states none. */
  readonly softwareVersion: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly state: 'ready' | 'leaving';
  /** Wall-clock start of the process, in Unix milliseconds. */
  readonly startedAt: number;
  /** Time until the endpoint is removed; undefined if unknown. */
  readonly leavesInMilliseconds: number | undefined;
  /** Time for which the endpoint stays cold, as of its row; 0 if it is warm. */
  readonly coldMilliseconds: number;
  /** Models in the accelerator; empty for plain services. */
  readonly models: readonly HeldModel[];
  /** Models whose weights are in the endpoint's main memory. */
  readonly inMemory: readonly string[];
  /** Models whose weights are on the endpoint's disk. */
  readonly onDisk: readonly string[];
}
