import {describe, expect, test} from 'vitest';
import type {ViewStatus} from '../membership/mod.ts';
import {ManualClock} from '../testing/mod.ts';
import {waitForView} from './wait_for_view.ts';

/** Creates a view that is confirmed by calling `confirm`. */
function manualView() {
  let confirmed = false;
  let notify: () => void = () => undefined;
  const view: ViewStatus = {
    confirmedUntil: () => (confirmed ? Infinity : -Infinity),
    isConfirmed: () => confirmed,
    waitUntilConfirmed: signal =>
      new Promise(resolve => {
        notify = resolve;
        signal?.addEventListener('abort', () => resolve());
      }),
  };
  const confirm = () => {
    confirmed = true;
    notify();
  };
  return {view, confirm};
}

describe('waitForView ends', () => {
  const cases = [
    {name: 'when the view is confirmed', end: 'confirm', ended: true},
    {name: 'when the caller disconnects', end: 'abort', ended: true},
    {name: 'at its time-out', end: 'limit', ended: true},
    {name: 'not before its time-out', end: 'nothing', ended: false},
  ] as const;
  test.each(cases)('$name', async ({end, ended}) => {
    const clock = new ManualClock();
    const {view, confirm} = manualView();
    const caller = new AbortController();
    let isEnded = false;
    void waitForView(view, clock, 1000, caller.signal).then(() => {
      isEnded = true;
    });
    await clock.advanceAsync(999);
    expect(isEnded).toBe(false);
    if (end === 'confirm') confirm();
    if (end === 'abort') caller.abort();
    await clock.advanceAsync(end === 'limit' ? 1 : 0);
    expect(isEnded).toBe(ended);
  });
});
