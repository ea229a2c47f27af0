import type {IncomingMessage} from 'node:http';

/** Outcome of reading a request's body. */
export type BodyOutcome =
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'too_large'}
  | {readonly kind: 'broken'};

/**
 * Reads a request body completely before anything is sent to an endpoint. An
 * endpoint that responds early thus still receives the right bytes, and a
 * request whose caller disconnects within the body is never executed.
 */
export function readBody(
  request: IncomingMessage,
  maximumBytes: number,
): Promise<BodyOutcome> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maximumBytes) {
        request.removeAllListeners('data');
        request.resume();
        resolve({kind: 'too_large'});
        return;
      }
      chunks.push(chunk);
    });
    request.once('end', () =>
      resolve({kind: 'whole', body: Buffer.concat(chunks)}),
    );
    request.once('error', () => resolve({kind: 'broken'}));
    request.once('close', () => resolve({kind: 'broken'}));
  });
}
