import type {Route, ServiceConfiguration} from '../deployment/mod.ts';
import type {RequestError, Result} from '../errors/mod.ts';
import type {Endpoint} from '../fleet/mod.ts';
import type {RequestMetadata} from './request_metadata.ts';
import type {EndpointNotice} from './wire_format.ts';

/** An admitted request with its route and service. */
export interface RoutedRequest {
  readonly metadata: RequestMetadata;
  readonly route: Route;
  readonly service: ServiceConfiguration;
  readonly team: string | undefined;
  /** Priority from 0 (highest) to 9. */
  readonly priority: number;
  /** Deadline for the response, on the monotonic clock. */
  readonly deadlineAt: number;
  /** Arrival time, on the monotonic clock. */
  readonly arrivedAt: number;
  /**
   * Software version of the endpoints that may run it; undefined if all may.
   */
  readonly softwareVersion?: string;
}

/** Which of several suitable endpoints is chosen. */
export type EndpointPreference =
  /** The one that keeps the session's prompt, at similar load. */
  | 'affinity'
  /** The one with the lowest load. */
  | 'least_loaded';

/** A response of an endpoint to a request of this host. */
export interface NotedResponse {
  readonly notice: EndpointNotice;
  /** Monotonic time at which the request was sent. */
  readonly sentAt: number;
  /** Whether the endpoint has served the request. */
  readonly isSuccess: boolean;
}

/** Selects endpoints for requests. */
export interface EndpointSource {
  /**
   * Waits for an endpoint that can run a request.
   *
   * @param excluded Incarnations of endpoints that have failed the request.
   * @param signal Ends the wait when the caller disconnects or the deadline passes.
   * @returns The endpoint, or an error; the request has not been executed then.
   */
  acquire(
    request: RoutedRequest,
    excluded: ReadonlySet<string>,
    signal: AbortSignal,
    preference: EndpointPreference,
  ): Promise<Result<Endpoint, RequestError>>;
  /**
   * Whether the data centre of an endpoint has been evacuated since the endpoint was
   * acquired, so that nothing may be sent to it any more.
   */
  isEvacuated(endpoint: Endpoint): boolean;
  /** Records what an endpoint says of itself in a response. */
  noteResponse(endpoint: Endpoint, response: NotedResponse): void;
  /** Records that no connection to an endpoint could be opened. */
  noteUnreachable(endpoint: Endpoint): void;
  /** Records that an endpoint refused a request because it was full or lacked the model. */
  noteRefused(request: RoutedRequest, endpoint: Endpoint): void;
}

/** Returns "MODEL" or "MODEL/ADAPTER"; empty for plain services. */
export function targetOf(metadata: RequestMetadata): string {
  if (metadata.model === undefined) return '';
  return metadata.adapter === undefined
    ? metadata.model
    : `${metadata.model}/${metadata.adapter}`;
}
