import type {Got} from 'got';
import {failure, type Result, success} from '../errors/mod.ts';
import {
  createHttpClient,
  describeHttpFailure,
  type PlatformClientOptions,
} from './_post_json.ts';
import type {ObjectStore} from './object_store.ts';
import type {PlatformError, PlatformStep} from './platform_error.ts';

/** {@link ObjectStore} over HTTP. */
export class HttpObjectStore implements ObjectStore {
  private readonly client: Got;
  private readonly address: string;

  constructor(options: PlatformClientOptions) {
    this.client = createHttpClient(options);
    this.address = options.address;
  }

  async get(
    name: string,
  ): Promise<Result<Uint8Array | undefined, PlatformError>> {
    try {
      const response = await this.client.get(objectPath(name), {
        responseType: 'buffer',
      });
      if (response.statusCode === 404) return success(undefined);
      if (response.statusCode === 200) return success(response.body);
      return this.unavailable('get_object', statusReason(response.statusCode));
    } catch (error) {
      return this.unavailable('get_object', describeHttpFailure(error).reason);
    }
  }

  async put(
    name: string,
    content: Uint8Array,
  ): Promise<Result<undefined, PlatformError>> {
    try {
      const response = await this.client.put(objectPath(name), {
        body: content,
      });
      if (response.statusCode === 204) return success(undefined);
      return this.unavailable('put_object', statusReason(response.statusCode));
    } catch (error) {
      return this.unavailable('put_object', describeHttpFailure(error).reason);
    }
  }

  async delete(name: string): Promise<Result<undefined, PlatformError>> {
    try {
      const {statusCode} = await this.client.delete(objectPath(name));
      if (statusCode === 204 || statusCode === 404) return success(undefined);
      return this.unavailable('delete_object', statusReason(statusCode));
    } catch (error) {
      const {reason} = describeHttpFailure(error);
      return this.unavailable('delete_object', reason);
    }
  }

  private unavailable(step: PlatformStep, reason: string) {
    const peer = this.address;
    return failure<PlatformError>({kind: 'unavailable', step, peer, reason});
  }
}

function objectPath(name: string): string {
  return `objects/${encodeURIComponent(name)}`;
}

function statusReason(statusCode: number): string {
  return `HTTP status ${statusCode}`;
}
