import type {ViewStatus} from '../membership/mod.ts';
import type {Clock} from '../time/mod.ts';

/**
 * Waits until the view is confirmed or a time-out expires. A host that was
 * paused or briefly lost its connections usually confirms its view again within
 * milliseconds, so its requests need not be refused.
 *
 * @param view View of this host.
 * @param clock Clock that measures the wait.
 * @param limitMilliseconds Longest wait, in milliseconds.
 * @param signal Ends the wait early.
 */
export async function waitForView(
  view: ViewStatus,
  clock: Clock,
  limitMilliseconds: number,
  signal: AbortSignal,
): Promise<void> {
  if (view.isConfirmed()) return;
  const limit = new AbortController();
  const cancel = clock.startTimer(limitMilliseconds, () => limit.abort());
  await view.waitUntilConfirmed(AbortSignal.any([signal, limit.signal]));
  cancel();
}
