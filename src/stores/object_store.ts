import type {Result} from '../errors/mod.ts';
import type {PlatformError} from './platform_error.ts';

/** The platform's object store. */
export interface ObjectStore {
  /** Reads an object; undefined when it does not exist. */
  get(name: string): Promise<Result<Uint8Array | undefined, PlatformError>>;
  /** Writes an object, replacing any existing one. */
  put(
    name: string,
    content: Uint8Array,
  ): Promise<Result<undefined, PlatformError>>;
  /** Deletes an object; succeeds when it does not exist. */
  delete(name: string): Promise<Result<undefined, PlatformError>>;
}
