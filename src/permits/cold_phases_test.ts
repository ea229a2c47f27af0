import {describe, expect, test} from 'vitest';
import {SILENT_LOGGER} from '../observability/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {EndpointLimits} from './mod.ts';

const E = 'engine-1/1';
const RATE = 14;

/** Limits of a host, and short forms of what it learns of one engine. */
function start() {
  const clock = new ManualClock();
  const announced: number[] = [];
  const limits = new EndpointLimits({
    clock,
    logger: SILENT_LOGGER,
    announce: () => undefined,
    announceCold: ({milliseconds}) => announced.push(milliseconds),
  });
  const phase = (milliseconds: number) => ({
    incarnation: E,
    ratePerSecond: RATE,
    milliseconds,
  });
  const observe = (
    cold: number | undefined,
    age = 0,
    ratePerSecond?: number,
  ) => {
    const sentAt = clock.monotonicMilliseconds() - age;
    const seen = {incarnation: E, ratePerSecond, sentAt, isSuccess: true};
    limits.observe({
      ...seen,
      cold: cold === undefined ? undefined : phase(cold),
    });
  };
  const steps: Record<string, (value?: number) => void> = {
    wait: (value = 0) => clock.advance(value),
    row: (value = 0) => limits.cold.recordRow(phase(value), false),
    tell: (value = 0) => limits.cold.receive(phase(value)),
    fail: () =>
      limits.cold.presume(E, {ratePerSecond: RATE, durationMilliseconds: 3000}),
    forget: () => limits.cold.forgetPresumed(E),
    answer: value => observe(value),
    /** The engine says that it is warm, to a request from some time ago. */
    answerTo: value => observe(0, value),
    limit: value => observe(undefined, 0, value),
  };
  return {
    announced,
    limits,
    run: (text: string) => {
      for (const step of text.split(', ')) {
        const [name = '', value] = step.split(' ');
        const act = steps[name];
        if (act === undefined) throw new Error(`unknown step "${name}"`);
        act(value === undefined ? undefined : Number(value));
      }
    },
  };
}

/** Name, steps as in {@link start}, and rate. */
const CASES: [string, string, number | undefined][] = [
  ['is cold by its row', 'row 3000', RATE],
  ['is cold until the end', 'row 3000, wait 2999', RATE],
  ['is warm by the own clock', 'row 3000, wait 3000', undefined],
  [
    'is kept cold by a new row',
    'row 3000, wait 2000, row 3000, wait 2500',
    RATE,
  ],
  ['turns cold again', 'row 3000, wait 4000, row 3000', RATE],
  ['is warm by a new row', 'row 3000, row 0', undefined],
  ['names no limit', 'row 3000, wait 10, answer', RATE],
  ['says that it is warm', 'row 3000, wait 10, answer 0', undefined],
  ['said so earlier', 'row 3000, wait 10, answerTo 20', RATE],
  ['says so by an older row', 'answer 3000, wait 1000, row 0', RATE],
  ['says so by a newer row', 'answer 3000, wait 2000, row 0', undefined],
  ['is cold as a peer says', 'tell 3000', RATE],
  ['is not warm by a peer', 'row 3000, tell 0, tell 500, wait 2000', RATE],
  ['names a lower limit', 'row 3000, limit 4', 4],
  ['names a higher limit', 'row 3000, limit 40', RATE],
  ['keeps its limit', 'row 3000, limit 40, wait 3000', 40],
  ['may be cold until it answers', 'fail, wait 60000', RATE],
  ['and then for a time', 'fail, wait 9000, answer, wait 2999', RATE],
  [
    'and not for longer',
    'fail, wait 9000, answer, wait 1500, answer, wait 1500',
    undefined,
  ],
  ['has a row from before the failure', 'fail, wait 1999, row 0', RATE],
  ['has a row from after it', 'fail, wait 2000, row 0', undefined],
  ['is warm after the failure', 'fail, wait 10, answer 0', undefined],
  ['has no row after the failure', 'fail, forget', undefined],
];

describe('an engine', () => {
  // A phase that ends early lets too many requests through; one that does not end
  // keeps a warm engine almost idle.
  test.each(CASES)('%s: %s', (_name, steps, rate) => {
    const engine = start();
    engine.run(steps);
    expect(engine.limits.rateOf(E)).toBe(rate);
  });

  // Each response would be a message to all hosts.
  test('is announced once for each phase that a response shows', () => {
    const {announced, run} = start();
    run('answer 3000, wait 100, answer 2900, wait 2000, answer 3000');
    run('wait 4000, row 3000, answer 2990');
    expect(announced).toEqual([3000, 3000]);
  });
});
