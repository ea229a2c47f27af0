import {describe, expect, test} from 'vitest';
import {createEventLogger, EVENTS, type EventName} from './mod.ts';

describe('createEventLogger', () => {
  const cases: {name: EventName; level: 'debug' | 'warn'; written: boolean}[] =
    [
      {name: 'hostStarted', level: 'debug', written: true},
      {name: 'hostStarted', level: 'warn', written: false},
      {name: 'leaseLost', level: 'warn', written: true},
    ];
  test.each(cases)(
    '$name is written at minimum level $level: $written',
    ({name, level, written}) => {
      const lines: string[] = [];
      const logger = createEventLogger({
        level,
        context: {host: 'host-1'},
        write: line => lines.push(line),
      });
      logger.event(name, {detail: 7});
      expect(lines.length).toBe(written ? 1 : 0);
      if (!written) return;
      expect(JSON.parse(lines[0]!)).toMatchObject({
        event: EVENTS[name].number,
        name,
        host: 'host-1',
        detail: 7,
      });
    },
  );

  test('repeated events are not dropped', () => {
    const lines: string[] = [];
    const logger = createEventLogger({write: line => lines.push(line)});
    for (let index = 0; index < 20; index++) {
      logger.event('replicaChosen', {endpoint: 'engine-1'});
    }
    expect(lines.length).toBe(20);
  });
});

test('event numbers are unique', () => {
  const numbers = Object.values(EVENTS).map(event => event.number);
  expect(new Set(numbers).size).toBe(numbers.length);
});
