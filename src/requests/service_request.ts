import type {IncomingHttpHeaders} from 'node:http';

/** A caller's request to a plain service. */
export interface ServiceRequest {
  readonly requestId: string;
  /** Value of the `Authorization` header. */
  readonly authorization: string | undefined;
  /** Name of the route, as in `/services/<name>/…`. */
  readonly service: string;
  readonly method: string;
  /** Path and query at the service, starting with `/`. */
  readonly path: string;
  /** Headers of the caller; those that must not reach an endpoint are removed. */
  readonly headers: IncomingHttpHeaders;
  readonly body: Uint8Array;
  readonly idempotencyKey: string | undefined;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Status and headers of a service's response, and its body as a stream. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  /** Throws a {@link RequestFailure} if the response cannot be completed. */
  readonly body: AsyncIterable<Uint8Array>;
}
