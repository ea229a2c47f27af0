import type {IncomingMessage, ServerResponse} from 'node:http';
import type {EndpointResponse} from '../exchange/mod.ts';
import {connectionHeader} from './_connection_header.ts';
import type {RequestRelayOptions} from './relay_options.ts';

const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

/**
 * Writes the head of an endpoint's response. Its body is framed by this host, with a
 * length or in chunks, even if the endpoint ended it with its connection: the
 * operating system ends the connections of a process that dies, and the part that
 * was sent would look complete. Only a stream to an HTTP/1.0 caller has no frame.
 *
 * @param bodyBytes Length of the body; undefined if it is forwarded as it arrives.
 */
export function writeResponseHead(
  response: ServerResponse,
  {message, status}: EndpointResponse,
  options: Pick<RequestRelayOptions, 'isDraining' | 'wireFormat'>,
  bodyBytes?: number,
): void {
  const length = contentLength(response, message, status, bodyBytes);
  response.writeHead(status, [
    ...connectionHeader(options),
    ...options.wireFormat.responseHeaders(message),
    ...(length === undefined ? [] : ['Content-Length', length]),
  ]);
}

function contentLength(
  response: ServerResponse,
  message: IncomingMessage,
  status: number,
  bodyBytes: number | undefined,
): string | undefined {
  if (status === STATUS_NO_CONTENT) return undefined;
  // These have no body; the length is that of the response to a GET.
  if (response.req.method === 'HEAD' || status === STATUS_NOT_MODIFIED)
    return message.headers['content-length'];
  return bodyBytes === undefined ? undefined : String(bodyBytes);
}
