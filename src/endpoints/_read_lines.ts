import {StringDecoder} from 'node:string_decoder';

/** Thrown when a line exceeds the maximum length. */
export class LineTooLongError extends Error {}

/** Splits a body into lines as they arrive; an unterminated last line is discarded. */
export async function* readLines(
  body: AsyncIterable<Buffer>,
  maximumLength: number,
): AsyncGenerator<string, void, undefined> {
  const decoder = new StringDecoder('utf8');
  let rest = '';
  for await (const chunk of body) {
    const parts = (rest + decoder.write(chunk)).split('\n');
    rest = parts.pop() ?? '';
    for (const part of parts) {
      if (part.length > maximumLength) throw lineTooLong(maximumLength);
      if (part !== '') yield part;
    }
    if (rest.length > maximumLength) throw lineTooLong(maximumLength);
  }
}

function lineTooLong(maximumLength: number): LineTooLongError {
  return new LineTooLongError(
    `A line is longer than ${maximumLength} characters`,
  );
}
