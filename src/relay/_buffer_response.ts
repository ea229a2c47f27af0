import {ByteCollector, type ByteReservation} from '../bytes/mod.ts';
import type {EndpointResponse} from '../exchange/mod.ts';

/** Maximum size of a response that is buffered before it is forwarded. */
const MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024;

/**
 * Reads a response completely; undefined if it is truncated or too large, so
 * that the caller never gets a truncated response that looks complete.
 *
 * @param reservation Takes the bytes that are held; released by the caller.
 */
export function bufferResponse(
  response: EndpointResponse,
  reservation: ByteReservation,
): Promise<Buffer | undefined> {
  const {message} = response;
  return new Promise(resolve => {
    const collector = new ByteCollector();
    message.on('data', (chunk: Buffer) => {
      if (
        collector.length + chunk.length <= MAXIMUM_RESPONSE_BYTES &&
        reservation.grow(chunk.length)
      ) {
        collector.append(chunk);
        return;
      }
      message.removeAllListeners('data');
      collector.clear();
      response.abort();
      resolve(undefined);
    });
    message.once('end', () =>
      resolve(
        message.complete && !response.hasConnectionFailed()
          ? collector.take()
          : undefined,
      ),
    );
    message.once('error', () => resolve(undefined));
    message.once('close', () => resolve(undefined));
  });
}
