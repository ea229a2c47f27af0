import type {EndpointResponse} from '../exchange/mod.ts';

/** Largest answer that is held until it is whole. */
const MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;

/**
 * Reads a whole answer; undefined when it breaks off, so that an answer which
 * ends early never looks complete to the caller.
 */
export function bufferAnswer(
  answer: EndpointResponse,
): Promise<Buffer | undefined> {
  const {message} = answer;
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    message.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      chunks.push(chunk);
      if (bytes <= MAXIMUM_ANSWER_BYTES) return;
      answer.abort();
      resolve(undefined);
    });
    message.once('end', () =>
      resolve(
        message.complete && !answer.hasConnectionFailed()
          ? Buffer.concat(chunks)
          : undefined,
      ),
    );
    message.once('error', () => resolve(undefined));
    message.once('close', () => resolve(undefined));
  });
}
