import type {ServerResponse} from 'node:http';
import type {EndpointResponse} from '../exchange/mod.ts';
import {connectionHeader} from './_connection_header.ts';
import type {RequestRelayOptions} from './relay_options.ts';

/**
 * Writes the head of an endpoint's response. If the endpoint sent neither a
 * Content-Length nor chunks, none are added: the end of such a body may be due
 * to a crash, and framing by this host would make it look complete.
 */
export function writeResponseHead(
  response: ServerResponse,
  {isFramed, message, status}: EndpointResponse,
  options: Pick<RequestRelayOptions, 'isDraining' | 'wireFormat'>,
  bodyBytes?: number,
): void {
  response.useChunkedEncodingByDefault = isFramed;
  response.writeHead(status, [
    ...connectionHeader(options),
    ...options.wireFormat.responseHeaders(message),
    ...(isFramed && bodyBytes !== undefined
      ? ['Content-Length', String(bodyBytes)]
      : []),
  ]);
}
