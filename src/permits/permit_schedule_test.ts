import {expect, test} from 'vitest';
import {ManualClock} from '../testing/manual_clock.ts';
import {PermitSchedule} from './mod.ts';

const TERMS = {
  incarnation: 'e/1',
  ratePerSecond: 1,
  horizonMilliseconds: 9000,
  notBefore: 5000,
};

// Hosts that all wait for the end of the same quiet time sent their first requests in the
// same millisecond, also if they had used their shares before.
test.each([{usedBefore: false}, {usedBefore: true}])(
  'shares that begin at the same time are spread: used before $usedBefore',
  ({usedBefore}) => {
    const clock = new ManualClock();
    const schedule = new PermitSchedule({clock, firstDelay: () => 0.25});
    if (usedBefore) schedule.take({...TERMS, notBefore: 0});
    clock.advance(4000);
    expect(schedule.take(TERMS)).toEqual({kind: 'granted', at: 5250});
  },
);

// Permits that a pause leaves unused were all granted at its end.
test.each([1, 2, 5])('%d permits may be saved', maximumSaved => {
  const clock = new ManualClock();
  const schedule = new PermitSchedule({clock});
  const take = () =>
    schedule.take({
      incarnation: 'e/1',
      ratePerSecond: 10,
      horizonMilliseconds: 0,
      maximumSaved,
    }).kind;
  take();
  clock.advance(5000);
  const granted = Array.from({length: 10}, take).filter(
    kind => kind === 'granted',
  );
  expect(granted.length).toBe(maximumSaved);
});
