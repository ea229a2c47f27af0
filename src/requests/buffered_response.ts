import type {ServiceClientResponse} from '../endpoints/mod.ts';

/** What was read of an answer. */
export interface BufferedResponse {
  readonly chunks: readonly Uint8Array[];
  /** What follows; undefined when the answer was read to its end. */
  readonly rest: AsyncIterator<Uint8Array> | undefined;
}

/**
 * Reads an answer until its end, or until it has more than `maximumBytes`.
 *
 * @throws {EndpointFailure} When the answer is cut or silent.
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

/** The whole body: what was read and what follows. */
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
