import type {ServerResponse} from 'node:http';

/** Whether the body of a response that has begun ends with its connection. */
export function isUnframed(response: ServerResponse): boolean {
  return (
    response.headersSent &&
    !response.writableFinished &&
    !response.hasHeader('content-length') &&
    !response.useChunkedEncodingByDefault
  );
}
