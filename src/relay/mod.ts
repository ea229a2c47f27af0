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
  EndpointNotice,
  ForwardingMetadata,
  ResponseHead,
  WireFormat,
} from './wire_format.ts';
export {
  type EndpointPreference,
  type EndpointSource,
  type NotedResponse,
  type RoutedRequest,
  targetOf,
} from './endpoint_source.ts';
export type {
  CrashGuard,
  RateLimiter,
  RequestRelayOptions,
  RetryBudget,
} from './relay_options.ts';
export {drainingError} from './draining_error.ts';
export {createRoutedRequest, type Sender} from './create_routed_request.ts';
export {findTooLate} from './find_too_late.ts';
export {rateRefusal} from './rate_refusal.ts';
export {RequestRelay} from './request_relay.ts';
export type {PromptPart, RequestMetadata} from './request_metadata.ts';
export {CrashTracker, type CrashTrackerOptions} from './crash_tracker.ts';
export {CrashEvidence, type CrashEvidenceOptions} from './crash_evidence.ts';
export type {
  PromptPartGuard,
  PromptPartRun,
  PromptPartTurn,
  RunCandidate,
} from './prompt_part_guard.ts';
export {
  type PromptPartChange,
  PromptPartQuarantine,
  type PromptPartQuarantineOptions,
  type PromptPartReport,
} from './prompt_part_quarantine.ts';
export {
  FleetRetryBudget,
  type FleetRetryBudgetOptions,
} from './fleet_retry_budget.ts';
export {DispatchWindow, type DispatchWindowEnd} from './dispatch_window.ts';
export {RunDurations, type RunOrigin} from './run_durations.ts';
