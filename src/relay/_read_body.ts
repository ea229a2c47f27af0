import type {IncomingMessage} from 'node:http';
import {ByteCollector, type ByteReservation} from '../bytes/mod.ts';

/** Outcome of reading a request's body. */
export type BodyOutcome =
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'too_large'}
  /** This host holds too many bytes already. */
  | {readonly kind: 'no_memory'}
  | {readonly kind: 'stopped'}
  | {readonly kind: 'broken'};

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  maximumBytes: number;
  /** Takes the bytes that are held; released by the caller. */
  reservation: ByteReservation;
  /** Ends the reading; the rest of the body is discarded. */
  stop: AbortSignal;
}

/**
 * Reads a request body completely before anything is sent to an endpoint. An
 * endpoint that responds early thus still receives the right bytes, and a
 * request whose caller disconnects within the body is never executed.
 */
export function readBody(
  request: IncomingMessage,
  {maximumBytes, reservation, stop}: ReadBodyOptions,
): Promise<BodyOutcome> {
  return new Promise(resolve => {
    const collector = new ByteCollector();
    const discard = (kind: 'too_large' | 'no_memory' | 'stopped') => {
      collector.clear();
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
      if (collector.length + chunk.length > maximumBytes) {
        discard('too_large');
        return;
      }
      if (!reservation.grow(chunk.length)) {
        discard('no_memory');
        return;
      }
      collector.append(chunk);
    });
    request.once('end', () => settle({kind: 'whole', body: collector.take()}));
    request.once('error', () => settle({kind: 'broken'}));
    request.once('close', () => settle({kind: 'broken'}));
  });
}
