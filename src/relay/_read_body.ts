import type {IncomingMessage} from 'node:http';

/** Outcome of reading a request's body. */
export type BodyOutcome =
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'too_large'}
  | {readonly kind: 'stopped'}
  | {readonly kind: 'broken'};

/**
 * Reads a request body completely before anything is sent to an endpoint. An
 * endpoint that responds early thus still receives the right bytes, and a
 * request whose caller disconnects within the body is never executed.
 *
 * @param stop Ends the reading; the rest of the body is discarded.
 */
export function readBody(
  request: IncomingMessage,
  maximumBytes: number,
  stop: AbortSignal,
): Promise<BodyOutcome> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const discard = (kind: 'too_large' | 'stopped') => {
      request.removeAllListeners('data');
      request.resume();
      settle({kind});
    };
    const onStop = () => discard('stopped');
    const settle = (outcome: BodyOutcome) => {
      stop.removeEventListener('abort', onStop);
      resolve(outcome);
    };
    stop.addEventListener('abort', onStop);
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maximumBytes) {
        discard('too_large');
        return;
      }
      chunks.push(chunk);
    });
    request.once('end', () =>
      settle({kind: 'whole', body: Buffer.concat(chunks)}),
    );
    request.once('error', () => settle({kind: 'broken'}));
    request.once('close', () => settle({kind: 'broken'}));
  });
}
