import {StringDecoder} from 'node:string_decoder';

/** Thrown when a line exceeds the maximum length. */
export class LineTooLongError extends Error {}

/**
 * Splits a body into lines as they arrive; an unterminated last line is discarded.
 * Each character is searched once, however small the chunks are.
 */
export async function* readLines(
  body: AsyncIterable<Buffer>,
  maximumLength: number,
): AsyncGenerator<string, void, undefined> {
  const decoder = new StringDecoder('utf8');
  /** Pieces of the line that has not ended. */
  let pieces: string[] = [];
  let length = 0;
  for await (const chunk of body) {
    const parts = decoder.write(chunk).split('\n');
    for (const [index, part] of parts.entries()) {
      pieces.push(part);
      length += part.length;
      if (length > maximumLength) throw lineTooLong(maximumLength);
      if (index === parts.length - 1) continue;
      const line = pieces.join('');
      pieces = [];
      length = 0;
      if (line !== '') yield line;
    }
  }
}

function lineTooLong(maximumLength: number): LineTooLongError {
  return new LineTooLongError(
    `A line is longer than ${maximumLength} characters`,
  );
}
