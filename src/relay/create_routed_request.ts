import type {
  Route,
  ServiceConfiguration,
  TeamConfiguration,
} from '../deployment/mod.ts';
import type {RoutedRequest} from './endpoint_source.ts';
import type {RequestMetadata} from './request_metadata.ts';

/** Who sends a request, and where it goes. */
export interface Sender {
  readonly route: Route;
  readonly service: ServiceConfiguration;
  /** Undefined on open routes. */
  readonly team: TeamConfiguration | undefined;
}

/**
 * Returns an admitted request with its priority and deadline.
 *
 * @param arrivedAt Monotonic time of its arrival.
 */
export function createRoutedRequest(
  {route, service, team}: Sender,
  metadata: RequestMetadata,
  arrivedAt: number,
): RoutedRequest {
  return {
    metadata,
    route,
    service,
    team: team?.name,
    priority: Math.min(9, Math.max(0, team?.priority ?? route.priority)),
    arrivedAt,
    deadlineAt:
      arrivedAt +
      Math.min(
        route.timeoutMilliseconds,
        metadata.deadlineMilliseconds ?? route.timeoutMilliseconds,
      ),
  };
}
