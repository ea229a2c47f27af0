import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {RequestError} from '../errors/mod.ts';
import type {RequestMetadata} from './request_metadata.ts';

/** Metadata that is sent to an endpoint along with a request. */
export interface ForwardingMetadata {
  /** Id of the endpoint that should run the request; all others reject it. */
  readonly endpointId: string;
  /** Time left until the deadline, in milliseconds. */
  readonly deadlineMilliseconds: number;
  /** Team that owns the API key; undefined on open routes. */
  readonly team: string | undefined;
  /** Priority at the endpoint, 0 (highest) to 9; undefined for plain services. */
  readonly priority: number | undefined;
  /** Id of the event after which the stream resumes. */
  readonly lastEventId: string | undefined;
}

/** Status and headers of a response to a caller. */
export interface ResponseHead {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
}

/** What an endpoint says of itself in a response. */
export interface EndpointNotice {
  /** Requests a second that it takes from all hosts; undefined without a limit. */
  readonly requestsPerSecond: number | undefined;
  /** Time for which it stays cold, 0 if it is warm; undefined if it does not say. */
  readonly coldMilliseconds: number | undefined;
  /** Whether it is about to stop. */
  readonly isLeaving: boolean;
  /** Time for which it wants no requests of this host; undefined if it says none. */
  readonly closedMilliseconds: number | undefined;
}

/** Header names and formats of requests and responses on a platform. */
export interface WireFormat {
  /** Parses the headers of a caller's request. */
  readMetadata(headers: IncomingHttpHeaders): RequestMetadata;
  /**
   * Returns the headers to send to an endpoint: those of the caller, without
   * the ones that callers must not set, and the forwarding metadata.
   */
  requestHeaders(
    rawHeaders: readonly string[],
    bodyBytes: number,
    metadata: ForwardingMetadata,
  ): string[];
  /**
   * Whether a response states that the endpoint did not execute this request. One
   * without the id of a request can be a repeated response to an earlier request,
   * unless it is the first one on its connection.
   */
  isNotRun(
    response: IncomingMessage,
    requestId: string,
    isFirstOnConnection: boolean,
  ): boolean;
  /** Whether a response belongs to the request with this id. */
  matchesRequest(response: IncomingMessage, requestId: string): boolean;
  /** Whether a response bears the endpoint's signature and has no content encoding. */
  isAuthentic(response: IncomingMessage): boolean;
  /** Reads what the endpoint says of itself, in a response of any status. */
  readNotice(response: IncomingMessage): EndpointNotice;
  /** Returns an endpoint's response headers for the caller, without framing. */
  responseHeaders(response: IncomingMessage): string[];
  /** Returns the response head for a request that was refused or failed. */
  errorResponseHead(error: RequestError, requestId: string): ResponseHead;
}
