/**
 * The path of every request, over bodies that it does not read.
 *
 * ```ts
 * const relay = new RequestRelay(options);
 * createServer((request, response) => void relay.handle(request, response));
 * ```
 *
 * @module
 */
export type {AnswerHead, Dialect, DispatchNotes} from './dialect.ts';
export {
  type EndpointSource,
  type RoutedRequest,
  targetOf,
} from './endpoint_source.ts';
export type {
  CrashGuard,
  RateAdmission,
  RequestRelayOptions,
  RetryAllowance,
} from './relay_options.ts';
export {RequestRelay} from './request_relay.ts';
export type {PromptPart, RequestTraits} from './request_traits.ts';
export {CrashRecord, type CrashRecordOptions} from './crash_record.ts';
export {
  FleetRetryAllowance,
  type FleetRetryAllowanceOptions,
} from './fleet_retry_allowance.ts';
