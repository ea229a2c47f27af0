import type {IncomingMessage} from 'node:http';
import type {WireFormat} from './wire_format.ts';

/** Returns why a response must not be forwarded; undefined if it may be. */
export function findMismatch(
  wireFormat: WireFormat,
  response: IncomingMessage,
  requestId: string,
): string | undefined {
  if (!wireFormat.matchesRequest(response, requestId))
    return 'it belongs to another request';
  return wireFormat.isAuthentic(response)
    ? undefined
    : 'it is not the endpoint’s own';
}
