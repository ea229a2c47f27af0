import type {Readable} from 'node:stream';
import type {Clock} from '../time/mod.ts';

/** Thrown when nothing arrived for longer than the bound. */
export class InactivityTimeoutError extends Error {
  constructor(milliseconds: number) {
    super(`Nothing arrived for ${milliseconds} ms`);
  }
}

/**
 * Reads a body and gives up when nothing arrives for too long. Only the time
 * spent waiting for the endpoint counts, so a slow reader is no silence. The
 * body is not destroyed when the reader stops early.
 */
export async function* readWithTimeout(
  body: Readable,
  milliseconds: number,
  clock: Clock,
): AsyncGenerator<Buffer, void, undefined> {
  const iterator = body.iterator({destroyOnReturn: false});
  for (;;) {
    const next = await withTimeout(
      iterator.next() as Promise<IteratorResult<Buffer>>,
      milliseconds,
      clock,
    );
    if (next.done) return;
    yield next.value;
  }
}

function withTimeout<Value>(
  promise: Promise<Value>,
  milliseconds: number,
  clock: Clock,
): Promise<Value> {
  return new Promise((resolve, reject) => {
    let cancel = clock.startTimer(milliseconds, () => {
      // After a pause of this process, timers run before the data that has
      // arrived meanwhile; the second timer lets that data be read.
      cancel = clock.startTimer(0, () => {
        reject(new InactivityTimeoutError(milliseconds));
      });
    });
    promise.then(
      value => {
        cancel();
        resolve(value);
      },
      (error: Error) => {
        cancel();
        reject(error);
      },
    );
  });
}
