import {ByteCollector, type ByteReservation} from '../bytes/mod.ts';
import type {EndpointResponse} from '../exchange/mod.ts';

/** Maximum size of a response that is buffered before it is forwarded. */
const MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Why a response was not read completely. */
export type BufferFailure =
  /** Truncated or too large. */
  | 'broken'
  /** This host holds too many bytes already; the endpoint is not at fault. */
  | 'no_memory';

/**
 * Reads a response completely or not at all, so that the caller never gets a
 * truncated response that looks complete.
 *
 * @param reservation Takes the bytes that are held; released by the caller.
 */
export function bufferResponse(
  response: EndpointResponse,
  reservation: ByteReservation,
): Promise<Buffer | BufferFailure> {
  const {message} = response;
  return new Promise(resolve => {
    const collector = new ByteCollector();
    const giveUp = (failure: BufferFailure) => {
      message.removeAllListeners('data');
      collector.clear();
      response.abort();
      resolve(failure);
    };
    message.on('data', (chunk: Buffer) => {
      if (collector.length + chunk.length > MAXIMUM_RESPONSE_BYTES)
        giveUp('broken');
      else if (reservation.grow(chunk.length)) collector.append(chunk);
      else giveUp('no_memory');
    });
    message.once('end', () =>
      resolve(response.isWhole() ? collector.take() : 'broken'),
    );
    message.once('error', () => resolve('broken'));
    message.once('close', () => resolve('broken'));
  });
}
