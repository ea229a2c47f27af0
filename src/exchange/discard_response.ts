import type {EndpointResponse} from './send_to_endpoint.ts';

/** Size up to which a body is read, so that its connection can be used again. */
const MAXIMUM_DISCARDED_BYTES = 64 * 1024;

/** Time within which such a body must end. */
const DISCARD_TIMEOUT_MILLISECONDS = 500;

/**
 * Discards the body of a response that is not forwarded. Its connection is kept if
 * the body ends soon, and closed otherwise: an endpoint in trouble may send bytes
 * until the connection is closed.
 */
export function discardResponse({message, abort}: EndpointResponse): void {
  let bytes = 0;
  const timer = setTimeout(abort, DISCARD_TIMEOUT_MILLISECONDS);
  message.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > MAXIMUM_DISCARDED_BYTES) abort();
  });
  message.once('close', () => clearTimeout(timer));
  message.once('error', () => clearTimeout(timer));
}
