import type {ManualClock} from './manual_clock.ts';

const STEP_MILLISECONDS = 50;

/** Time after which a promise is only awaited, so that a test that hangs fails. */
const LONGEST_MILLISECONDS = 25_000;

/** Advances a clock in small steps until a promise is settled. */
export async function settle<Value>(
  clock: ManualClock,
  promise: Promise<Value>,
): Promise<Value> {
  let settled = false;
  void promise.finally(() => {
    settled = true;
  });
  for (
    let elapsed = 0;
    elapsed < LONGEST_MILLISECONDS && !settled;
    elapsed += STEP_MILLISECONDS
  ) {
    await clock.advanceAsync(STEP_MILLISECONDS);
  }
  return promise;
}
