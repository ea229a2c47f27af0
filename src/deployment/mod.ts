/**
 * What the operator has put in force and what endpoints say of themselves.
 *
 * ```ts
 * const index = new RouteIndex(configuration);
 * const route = index.findRoute('api.example', '/v1/chat/');
 * ```
 *
 * @module
 */
export {callerPatience, type PatienceTerms} from './caller_patience.ts';
export type {
  CallerLimits,
  DeploymentConfiguration,
  EnginePoolTerms,
  ModelTerms,
  Route,
  RouteKind,
  RouteTarget,
  ServiceTerms,
  TeamTerms,
} from './configuration.ts';
export type {EndpointRecord, HeldModel} from './endpoint_record.ts';
export {pickService, RouteIndex} from './route_index.ts';
