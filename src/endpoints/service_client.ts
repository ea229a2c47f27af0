import type {IncomingHttpHeaders} from 'node:http';
import type {Result} from '../errors/mod.ts';
import type {EndpointError} from './endpoint_error.ts';

/** A call of a plain service. */
export interface ServiceCall {
  readonly requestId: string;
  readonly method: string;
  /** Path and query, starting with `/`. */
  readonly path: string;
  /** Headers that may reach the endpoint; never the caller's key. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Repeatable calls may go over a reused connection. */
  readonly repeatable: boolean;
  /** Time for the head, and between two arrivals of the body. */
  readonly progressMilliseconds?: number;
}

/** The head of a service's answer, and its body as it arrives. */
export interface ServiceClientResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Throws an `EndpointFailure` when the answer is cut or silent. */
  readonly body: AsyncIterable<Uint8Array>;
  /** Ends the exchange, whether or not the body was read. */
  readonly close: () => void;
}

/** Exchanges with one instance of a plain service. */
export interface ServiceClient {
  /** Sends a call once and resolves when the head of the answer is there. */
  call(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceClientResponse, EndpointError>>;
  /** Opens a connection and closes it, to learn whether anything listens. */
  probe(): Promise<Result<undefined, EndpointError>>;
  /** Ends idle connections. */
  close(): void;
}
