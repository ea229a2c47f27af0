import type {IncomingHttpHeaders} from 'node:http';
import type {Result} from '../errors/mod.ts';
import type {EndpointError} from './endpoint_error.ts';

/** A call of a plain service. */
export interface ServiceCall {
  readonly requestId: string;
  readonly method: string;
  /** Path and query, starting with `/`. */
  readonly path: string;
  /** Headers to forward to the endpoint, without the caller's API key. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Whether the call is safe to repeat, and so may use a reused connection. */
  readonly repeatable: boolean;
  /** Maximum time without data, for the response headers and the body. */
  readonly progressMilliseconds?: number;
}

/** Status and headers of a service's response, and its body as a stream. */
export interface ServiceClientResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Throws an `EndpointFailure` if the response is truncated or times out. */
  readonly body: AsyncIterable<Uint8Array>;
  /** Ends the exchange, whether or not the body was read. */
  readonly close: () => void;
}

/** Exchanges with one instance of a plain service. */
export interface ServiceClient {
  /** Sends a call once and resolves when the response headers have arrived. */
  call(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceClientResponse, EndpointError>>;
  /** Checks that the instance accepts connections. */
  probe(): Promise<Result<undefined, EndpointError>>;
  /** Closes all connections. */
  close(): void;
}
