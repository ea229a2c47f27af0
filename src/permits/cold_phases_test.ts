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
  return {
    announced,
    limits,
    wait: (milliseconds: number) => clock.advance(milliseconds),
    row: (milliseconds: number) =>
      limits.cold.recordRow(phase(milliseconds), false),
    tell: (milliseconds: number) => limits.cold.receive(phase(milliseconds)),
    fail: () =>
      limits.cold.presume(E, {ratePerSecond: RATE, durationMilliseconds: 3000}),
    /** A response to a request that was sent some time ago. */
    answer: (cold?: number, age = 0, ratePerSecond?: number) =>
      limits.observe({
        incarnation: E,
        ratePerSecond,
        sentAt: clock.monotonicMilliseconds() - age,
        isSuccess: true,
        cold:
          cold === undefined
            ? undefined
            : {milliseconds: cold, ratePerSecond: RATE},
      }),
  };
}

type Engine = ReturnType<typeof start>;

interface Case {
  name: string;
  steps: (engine: Engine) => void;
  rate: number | undefined;
}

const CASES: Case[] = [
  {name: 'is cold by its row', steps: e => e.row(3000), rate: RATE},
  {
    name: 'is cold until the end',
    steps: e => [e.row(3000), e.wait(2999)],
    rate: RATE,
  },
  {
    name: 'is warm by the own clock, without any message',
    steps: e => [e.row(3000), e.wait(3000)],
    rate: undefined,
  },
  {
    name: 'stays cold by a new row',
    steps: e => [e.row(3000), e.wait(2000), e.row(3000), e.wait(2500)],
    rate: RATE,
  },
  {
    name: 'turns cold again',
    steps: e => [e.row(3000), e.wait(4000), e.row(3000)],
    rate: RATE,
  },
  {
    name: 'is warm by a new row',
    steps: e => [e.row(3000), e.row(0)],
    rate: undefined,
  },
  {
    name: 'stays cold after a success without a limit',
    steps: e => [e.row(3000), e.wait(10), e.answer()],
    rate: RATE,
  },
  {
    name: 'is warm as it says in a response',
    steps: e => [e.row(3000), e.wait(10), e.answer(0)],
    rate: undefined,
  },
  {
    name: 'stays cold after an answer to an earlier request',
    steps: e => [e.row(3000), e.wait(10), e.answer(0, 20)],
    rate: RATE,
  },
  {
    name: 'stays cold by a response although an older row arrives',
    steps: e => [e.answer(3000), e.wait(1000), e.row(0)],
    rate: RATE,
  },
  {
    name: 'is warm by a later row after such a response',
    steps: e => [e.answer(3000), e.wait(2000), e.row(0)],
    rate: undefined,
  },
  {name: 'is cold as a peer says', steps: e => e.tell(3000), rate: RATE},
  {
    name: 'does not become warm earlier by a peer',
    steps: e => [e.row(3000), e.tell(0), e.tell(500), e.wait(2000)],
    rate: RATE,
  },
  {
    name: 'names a lower limit',
    steps: e => [e.row(3000), e.answer(undefined, 0, 4)],
    rate: 4,
  },
  {
    name: 'names a higher limit',
    steps: e => [e.row(3000), e.answer(undefined, 0, 40)],
    rate: RATE,
  },
  {
    name: 'keeps a named limit after its cold phase',
    steps: e => [e.row(3000), e.answer(undefined, 0, 40), e.wait(3000)],
    rate: 40,
  },
  {
    name: 'is presumed cold as long as it gives no answer',
    steps: e => [e.fail(), e.wait(60_000)],
    rate: RATE,
  },
  {
    name: 'is presumed cold from its first answer on',
    steps: e => [e.fail(), e.wait(60_000), e.answer(), e.wait(2999)],
    rate: RATE,
  },
  {
    name: 'is presumed cold for no longer than a cold start',
    steps: e => [
      e.fail(),
      e.wait(60_000),
      e.answer(),
      e.wait(1500),
      e.answer(),
      e.wait(1500),
    ],
    rate: undefined,
  },
  {
    name: 'is presumed cold although a row from before the failure arrives',
    steps: e => [e.fail(), e.wait(1999), e.row(0)],
    rate: RATE,
  },
  {
    name: 'is warm by a row from after the failure',
    steps: e => [e.fail(), e.wait(2000), e.row(0)],
    rate: undefined,
  },
  {
    name: 'is warm as it says after the failure',
    steps: e => [e.fail(), e.wait(10), e.answer(0)],
    rate: undefined,
  },
  {
    name: 'is forgotten without a row',
    steps: e => [e.fail(), e.limits.cold.forgetPresumed(E)],
    rate: undefined,
  },
];

describe('an engine', () => {
  // A phase that ends early lets too many requests through; one that does not end
  // keeps a warm engine almost idle.
  test.each(CASES)('$name', ({steps, rate}) => {
    const engine = start();
    steps(engine);
    expect(engine.limits.rateOf(E)).toBe(rate);
  });

  // Each response would be a message to all hosts.
  test('is announced once for each phase that a response shows', () => {
    const {answer, announced, row, wait} = start();
    answer(3000);
    wait(100);
    answer(2900);
    wait(2000);
    answer(3000);
    wait(4000);
    row(3000);
    answer(2990);
    expect(announced).toEqual([3000, 3000]);
  });
});
