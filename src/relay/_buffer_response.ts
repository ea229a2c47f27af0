import type {EndpointResponse} from '../exchange/mod.ts';

/** Maximum size of a response that is buffered before it is forwarded. */
const MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024;

/**
 * Reads a response completely; undefined if it is truncated or too large, so
 * that the caller never gets a truncated response that looks complete.
 */
export function bufferResponse(
  response: EndpointResponse,
): Promise<Buffer | undefined> {
  const {message} = response;
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    message.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      chunks.push(chunk);
      if (bytes <= MAXIMUM_RESPONSE_BYTES) return;
      response.abort();
      resolve(undefined);
    });
    message.once('end', () =>
      resolve(
        message.complete && !response.hasConnectionFailed()
          ? Buffer.concat(chunks)
          : undefined,
      ),
    );
    message.once('error', () => resolve(undefined));
    message.once('close', () => resolve(undefined));
  });
}
