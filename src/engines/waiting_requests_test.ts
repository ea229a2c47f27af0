import {expect, test} from 'vitest';
import {Endpoint} from '../fleet/mod.ts';
import type {RoutedRequest} from '../relay/mod.ts';
import {engineRecord} from '../testing/managed_pool.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {WaitingRequests} from './_waiting_requests.ts';

// Guards against requests that ask for a permit of an engine with a limited rate with
// each report, which are refused again and put off the turns of all others.
test.each([
  {isOpen: false, isWoken: false},
  {isOpen: true, isWoken: true},
])(
  'reports wake requests for an engine that takes any: $isOpen',
  async ({isOpen, isWoken}) => {
    const clock = new ManualClock();
    const endpoint = new Endpoint(engineRecord({}), 1);
    const waiting = new WaitingRequests({
      clock,
      holders: () => [endpoint],
      isOpen: () => isOpen,
      waitDeadline: () => clock.monotonicMilliseconds() + 5000,
      onDemandChanged: () => undefined,
    });
    const request = {
      metadata: {model: 'model-a', adapter: undefined},
      service: {name: 'engines'},
      arrivedAt: clock.monotonicMilliseconds(),
    } as RoutedRequest;
    let hasEnded = false;
    void waiting.wait(request, new AbortController().signal).then(() => {
      hasEnded = true;
    });
    await clock.advanceAsync(100);
    waiting.wakeServable();
    await clock.advanceAsync(1);
    expect(hasEnded).toBe(isWoken);
    await clock.advanceAsync(1000);
    expect(hasEnded).toBe(true);
  },
);
