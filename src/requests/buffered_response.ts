import type {ServiceClientResponse} from '../endpoints/mod.ts';

/** The part of a response that was read into memory. */
export interface BufferedResponse {
  readonly chunks: readonly Uint8Array[];
  /** Remaining chunks; undefined if the response was read to its end. */
  readonly rest: AsyncIterator<Uint8Array> | undefined;
}

/**
 * Buffers a response until its end, or until more than `maximumBytes` are read.
 *
 * @throws {EndpointFailure} If the response is truncated or its progress time-out expires.
 */
export async function bufferResponse(
  answer: ServiceClientResponse,
  maximumBytes: number,
): Promise<BufferedResponse> {
  const chunks: Uint8Array[] = [];
  const iterator = answer.body[Symbol.asyncIterator]();
  let size = 0;
  while (size <= maximumBytes) {
    const next = await iterator.next();
    if (next.done) return {chunks, rest: undefined};
    size += next.value.length;
    chunks.push(next.value);
  }
  return {chunks, rest: iterator};
}

/** Yields the whole body: the buffered chunks, then the remaining ones. */
export async function* bufferedBody(
  buffered: BufferedResponse,
): AsyncGenerator<Uint8Array, void, undefined> {
  yield* buffered.chunks;
  const {rest} = buffered;
  if (rest === undefined) return;
  try {
    for (let next = await rest.next(); !next.done; next = await rest.next()) {
      yield next.value;
    }
  } finally {
    await rest.return?.();
  }
}
