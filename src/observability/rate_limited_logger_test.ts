import {expect, test} from 'vitest';
import {ManualClock} from '../testing/manual_clock.ts';
import {type EventName, RateLimitedLogger} from './mod.ts';

// Guards against a log whose volume grows with the load, and against failures
// that are left out because much else goes well.
test('lines a second are bounded, and failures have a bound of their own', () => {
  const clock = new ManualClock();
  const written: EventName[] = [];
  const logger = new RateLimitedLogger({
    logger: {event: name => written.push(name)},
    clock,
    sampled: new Set<EventName>(['requestServed']),
    sampledPerSecond: 3,
    othersPerSecond: 5,
  });
  for (let count = 0; count < 100; count++) logger.event('requestServed');
  for (let count = 0; count < 4; count++) logger.event('requestFailed');
  clock.advance(1000);
  logger.event('requestFailed');
  expect(written).toEqual([
    ...Array<EventName>(3).fill('requestServed'),
    ...Array<EventName>(4).fill('requestFailed'),
    'logLinesDropped',
    'requestFailed',
  ]);
});
