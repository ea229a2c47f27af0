/**
 * Deployment configuration in effect, and endpoint records from the store.
 *
 * ```ts
 * const index = new RouteIndex(configuration);
 * const route = index.findRoute('api.example', '/v1/chat/');
 * ```
 *
 * @module
 */
export {callerTimeout, type CallerTimeoutInput} from './caller_timeout.ts';
export type {
  CallerLimits,
  ColdStartConfiguration,
  DeploymentConfiguration,
  EnginePoolConfiguration,
  ModelConfiguration,
  Route,
  RouteKind,
  RouteTarget,
  ServiceConfiguration,
  TeamConfiguration,
} from './configuration.ts';
export type {EndpointRecord, HeldModel} from './endpoint_record.ts';
export {pickService, RouteIndex} from './route_index.ts';
