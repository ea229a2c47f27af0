import {expect, test} from 'vitest';
import {SystemClock} from './mod.ts';

// Guards against a request that is answered 502 in place of 504 because the
// timer of its deadline fired before the deadline.
test('timers never fire early', async () => {
  const clock = new SystemClock();
  const delays = Array.from({length: 400}, (_unused, index) => 2 + index / 50);
  const elapsed = await Promise.all(
    delays.map(delay => {
      const startedAt = clock.monotonicMilliseconds();
      return new Promise<number>(resolve => {
        clock.startTimer(delay, () =>
          resolve(clock.monotonicMilliseconds() - startedAt),
        );
      });
    }),
  );
  const early = elapsed.filter((took, index) => took < (delays[index] ?? 0));
  expect(early).toEqual([]);
});
