import type {Readable} from 'node:stream';
import type {Clock} from '../time/mod.ts';

/** Thrown when no data arrives within the time-out. */
export class InactivityTimeoutError extends Error {
  constructor(milliseconds: number) {
    super(`No data received within ${milliseconds} ms`);
  }
}

/**
 * Reads a body and throws if no data arrives within the time-out. Only the time
 * spent waiting for the endpoint counts, so a slow reader causes no time-out.
 * The body is not destroyed if the reader stops early.
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
      // After this process was paused, timers fire before data that arrived
      // meanwhile is read; the second timer lets that data be read first.
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
