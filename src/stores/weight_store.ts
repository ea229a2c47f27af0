import type {Result} from '../errors/mod.ts';
import type {PlatformError} from './platform_error.ts';

/** Model or adapter weights in the weight store. */
export interface Checkpoint {
  /** Model or adapter name. */
  readonly name: string;
  readonly version: string;
  readonly megabytes: number;
}

/**
 * The platform's store of model weights. Engines read checkpoints from it when
 * they carry out a load order; hosts only list its checkpoints.
 */
export interface WeightStore {
  /** Lists all checkpoints. */
  list(): Promise<Result<readonly Checkpoint[], PlatformError>>;
}
