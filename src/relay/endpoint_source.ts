import type {Route, ServiceConfiguration} from '../deployment/mod.ts';
import type {RequestError, Result} from '../errors/mod.ts';
import type {Endpoint} from '../fleet/mod.ts';
import type {RequestMetadata} from './request_metadata.ts';

/** A request that waits for an endpoint. */
export interface RoutedRequest {
  readonly metadata: RequestMetadata;
  readonly route: Route;
  readonly service: ServiceConfiguration;
  readonly team: string | undefined;
  /** Rank of the request; 0 is most urgent. */
  readonly priority: number;
  /** Monotonic time at which it must be answered. */
  readonly deadlineAt: number;
  /** Monotonic time at which it arrived. */
  readonly arrivedAt: number;
}

/** Chooses endpoints for requests. */
export interface EndpointSource {
  /**
   * Waits for an endpoint that can run a request.
   *
   * @param excluded Incarnations of endpoints that have failed the request.
   * @param signal Ends the wait when the caller leaves.
   * @returns The endpoint, or an error whose request has not run.
   */
  acquire(
    request: RoutedRequest,
    excluded: ReadonlySet<string>,
    signal: AbortSignal,
  ): Promise<Result<Endpoint, RequestError>>;
  /** Notes that an endpoint refused a request, being full or without the model. */
  noteRefused(request: RoutedRequest, endpoint: Endpoint): void;
}

/** Model with its adapter, as one name; empty for plain services. */
export function targetOf(traits: RequestMetadata): string {
  if (traits.model === undefined) return '';
  return traits.adapter === undefined
    ? traits.model
    : `${traits.model}/${traits.adapter}`;
}
