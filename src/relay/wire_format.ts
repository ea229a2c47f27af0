import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {RequestError} from '../errors/mod.ts';
import type {RequestMetadata} from './request_metadata.ts';

/** What the relay tells an endpoint about a request. */
export interface ForwardingMetadata {
  /** Id of the endpoint that should run the request; any other one refuses. */
  readonly endpointId: string;
  /** Time that is left, in milliseconds. */
  readonly deadlineMilliseconds: number;
  /** Team of the key; undefined on open routes. */
  readonly team: string | undefined;
  /** Rank among the endpoint's requests, 0 to 9, 0 first; undefined for plain services. */
  readonly priority: number | undefined;
  /** Event after which the stream goes on. */
  readonly lastEventId: string | undefined;
}

/** Head of an answer to a caller. */
export interface ResponseHead {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
}

/** Names and formats of the requests and answers of one front door. */
export interface WireFormat {
  /** Reads what the relay needs from a request's headers. */
  readMetadata(headers: IncomingHttpHeaders): RequestMetadata;
  /** Headers for the endpoint: the caller's, less those that aren't its to set. */
  requestHeaders(
    rawHeaders: readonly string[],
    bodyBytes: number,
    notes: ForwardingMetadata,
  ): string[];
  /** Whether an answer says that the endpoint did not run this request. */
  isNotRun(answer: IncomingMessage, requestId: string): boolean;
  /** Whether an answer belongs to a request. */
  matchesRequest(answer: IncomingMessage, requestId: string): boolean;
  /** Whether an answer bears the endpoint's signature and plain bytes. */
  isAuthentic(answer: IncomingMessage): boolean;
  /** Headers of an endpoint's answer for the caller, without framing. */
  responseHeaders(answer: IncomingMessage): string[];
  /** Answer for a request that this system refuses or has failed. */
  errorResponseHead(error: RequestError, requestId: string): ResponseHead;
}
