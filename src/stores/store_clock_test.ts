import {expect, test} from 'vitest';
import {ManualClock} from '../testing/manual_clock.ts';
import {StoreClock} from './mod.ts';

/** Time of the store when the clock of the host starts. */
const STORE_START = 5000;

interface Step {
  kind: 'call' | 'update' | 'suspend';
  /** Time that the call, update or suspension takes. */
  takes: number;
}

interface Case {
  name: string;
  steps: Step[];
  /** Age that the host then gives to what is 1000 ms old. */
  age: number;
}

const CASES: Case[] = [
  {name: 'without a call', steps: [], age: Infinity},
  {name: 'after a call', steps: [{kind: 'call', takes: 10}], age: 1010},
  {
    name: 'after a slow and a fast call',
    steps: [
      {kind: 'call', takes: 3000},
      {kind: 'call', takes: 10},
    ],
    age: 1010,
  },
  // A late update must not make the host take others for fresh.
  {
    name: 'after a call and a late update',
    steps: [
      {kind: 'call', takes: 10},
      {kind: 'update', takes: 4000},
    ],
    age: 1010,
  },
  {
    name: 'after updates alone',
    steps: [
      {kind: 'update', takes: 400},
      {kind: 'update', takes: 2},
    ],
    age: 998,
  },
  // The monotonic clock of a suspended host stops; what it knew is older then.
  {
    name: 'after a suspension and an update',
    steps: [
      {kind: 'call', takes: 10},
      {kind: 'suspend', takes: 4000},
      {kind: 'update', takes: 2},
    ],
    age: 998,
  },
];

// Guards against ages that leave out the time on the way from the store.
test.each(CASES)('an age $name includes the way', ({steps, age}) => {
  const clock = new ManualClock();
  const storeClock = new StoreClock({clock});
  let suspended = 0;
  const storeNow = () =>
    STORE_START + clock.monotonicMilliseconds() + suspended;
  for (const {kind, takes} of steps) {
    const startedAt = clock.monotonicMilliseconds();
    const sentAt = storeNow();
    if (kind === 'suspend') suspended += takes;
    else clock.advance(takes);
    if (kind === 'call') {
      storeClock.recordCall({startedAt, storeMilliseconds: storeNow()});
    }
    if (kind === 'update') storeClock.recordUpdate(sentAt);
  }
  const knownAt = storeClock.toMonotonic(storeNow() - 1000);
  expect(clock.monotonicMilliseconds() - knownAt).toBe(age);
});
