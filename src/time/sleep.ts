import type {Clock} from './clock.ts';

/**
 * Resolves after a delay, or at once when `signal` is aborted.
 *
 * @param clock Clock that measures the delay.
 * @param delayMilliseconds Delay in milliseconds.
 * @param signal Ends the delay early; the promise resolves and never rejects.
 * @example
 * ```ts
 * await sleep(clock, 250);
 * ```
 */
export function sleep(
  clock: Clock,
  delayMilliseconds: number,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const finish = () => {
      cancel();
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const cancel = clock.startTimer(delayMilliseconds, finish);
    signal?.addEventListener('abort', finish, {once: true});
  });
}
