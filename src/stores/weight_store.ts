import type {Result} from '../errors/mod.ts';
import type {PlatformError} from './platform_error.ts';

/** A checkpoint in the weight store. */
export interface Checkpoint {
  /** Model or adapter name. */
  readonly name: string;
  readonly version: string;
  readonly megabytes: number;
}

/**
 * The platform's weight store. Engines read from it when they obey a load
 * order; hosts only list what it has.
 */
export interface WeightStore {
  /** Lists all checkpoints. */
  list(): Promise<Result<readonly Checkpoint[], PlatformError>>;
}
