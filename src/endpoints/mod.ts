/**
 * Clients of engines and plain services.
 *
 * Each engine protocol has its own implementation of {@link EngineClient}.
 *
 * @module
 */
export type {ExchangeTimeouts} from './_http_exchange.ts';
export {EndpointClients} from './endpoint_clients.ts';
export {
  type EndpointError,
  type EndpointStep,
  runStateOf,
} from './endpoint_error.ts';
export {EndpointFailure} from './endpoint_failure.ts';
export {
  type CacheEvent,
  type EngineAction,
  type EngineClient,
  type EngineEntry,
  type EngineEvent,
  type EngineOrder,
  type EngineRunRequest,
  type EngineState,
  RUN_PRIORITIES,
  type RunOptions,
  type RunPriority,
  type RunTarget,
} from './engine_client.ts';
export {
  HttpEngineClient,
  type HttpEngineClientOptions,
} from './http_engine_client.ts';
export {
  HttpServiceClient,
  type HttpServiceClientOptions,
} from './http_service_client.ts';
export type {
  ServiceClientResponse,
  ServiceCall,
  ServiceClient,
} from './service_client.ts';
