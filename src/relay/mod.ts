/**
 * Forwards HTTP requests to endpoints with retries, without reading the bodies.
 *
 * ```ts
 * const relay = new RequestRelay(options);
 * createServer((request, response) => void relay.handle(request, response));
 * ```
 *
 * @module
 */
export type {
  ForwardingMetadata,
  ResponseHead,
  WireFormat,
} from './wire_format.ts';
export {
  type EndpointSource,
  type RoutedRequest,
  targetOf,
} from './endpoint_source.ts';
export type {
  CrashGuard,
  RateLimiter,
  RequestRelayOptions,
  RetryBudget,
} from './relay_options.ts';
export type {OpenRequest} from './open_request.ts';
export {RequestRelay} from './request_relay.ts';
export type {PromptPart, RequestMetadata} from './request_metadata.ts';
export {CrashTracker, type CrashTrackerOptions} from './crash_tracker.ts';
export {
  FleetRetryBudget,
  type FleetRetryBudgetOptions,
} from './fleet_retry_budget.ts';
