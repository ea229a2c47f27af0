/**
 * HTTP clients for the store and for endpoints, without retries.
 *
 * ```ts
 * const response = await callHttp({address, method: 'GET', path, agent, timeoutMilliseconds: 1000});
 * ```
 *
 * @module
 */
export {breakOff} from './break_off.ts';
export {
  callHttp,
  type CallHttpOptions,
  type HttpResponse,
  type HttpCallError,
} from './call_http.ts';
export {EndpointAgent, type EndpointAgentOptions} from './endpoint_agent.ts';
export {hopByHopHeaders} from './hop_by_hop_headers.ts';
export {
  type EndpointResponse,
  sendToEndpoint,
  type SendOptions,
  type SendOutcome,
} from './send_to_endpoint.ts';
export {discardResponse} from './discard_response.ts';
export {isConnectionRefused} from './is_connection_refused.ts';
export {isHttpStatus} from './is_http_status.ts';
export {isSocketAddress} from './is_socket_address.ts';
export {isUnframed} from './is_unframed.ts';
export {watchConnection} from './watch_connection.ts';
