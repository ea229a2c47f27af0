import type {ServerResponse} from 'node:http';
import type {EndpointResponse} from '../exchange/mod.ts';
import {connectionHeader} from './request_relay.ts';
import type {WireFormat} from './wire_format.ts';

/**
 * Writes the head of an endpoint's response. If the endpoint sent neither a
 * Content-Length nor chunks, none are added: the end of such a body may be due
 * to a crash, and framing by this host would make it look complete.
 */
export function writeResponseHead(
  response: ServerResponse,
  {isFramed, message, status}: EndpointResponse,
  wireFormat: WireFormat,
  bodyBytes?: number,
): void {
  response.useChunkedEncodingByDefault = isFramed;
  response.writeHead(status, [
    ...connectionHeader(response),
    ...wireFormat.responseHeaders(message),
    ...(isFramed && bodyBytes !== undefined
      ? ['Content-Length', String(bodyBytes)]
      : []),
  ]);
}
