import {expect, test} from 'vitest';
import {ManualClock} from '../testing/manual_clock.ts';
import {type EventName, RateLimitedLogger} from './mod.ts';

// Guards against a log volume that grows with the load, and against dropping
// failures because successful requests have used up the limit.
test('limits lines per second, with a separate limit for failures', () => {
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
