import {describe, expect, test} from 'vitest';
import {ManualClock} from '../testing/manual_clock.ts';
import {RunDurations, type RunOrigin} from './mod.ts';

function origin(route: string, service: string): RunOrigin {
  return {route: {name: route}, service: {name: service}} as RunOrigin;
}

interface Case {
  name: string;
  runs: number;
  agedMilliseconds: number;
  asked: RunOrigin;
  shortest: number;
  longest: number;
}

const CHAT = origin('chat', 'engines');

const CASES: Case[] = [
  {
    name: 'too few runs',
    runs: 7,
    agedMilliseconds: 0,
    asked: CHAT,
    shortest: 0,
    longest: 0,
  },
  {
    name: 'enough runs',
    runs: 21,
    agedMilliseconds: 0,
    asked: CHAT,
    shortest: 200,
    longest: 2000,
  },
  {
    name: 'old runs',
    runs: 21,
    agedMilliseconds: 10_001,
    asked: CHAT,
    shortest: 0,
    longest: 0,
  },
  {
    name: 'runs on another service',
    runs: 21,
    agedMilliseconds: 0,
    asked: origin('chat', 'plain'),
    shortest: 0,
    longest: 0,
  },
  {
    name: 'runs of another route',
    runs: 21,
    agedMilliseconds: 0,
    asked: origin('draft', 'engines'),
    shortest: 0,
    longest: 0,
  },
];

describe('RunDurations', () => {
  // Guards against a route whose requests are refused for ever, since it was slow once:
  // refused requests add no runs from which to learn better.
  test.each(CASES)('$name', entry => {
    const {runs, agedMilliseconds, asked, shortest, longest} = entry;
    const clock = new ManualClock();
    const durations = new RunDurations(clock);
    for (let run = 1; run <= runs; run++) durations.record(CHAT, run * 100);
    clock.advance(agedMilliseconds);
    expect({
      shortest: durations.shortest(asked),
      longest: durations.longest(asked),
    }).toEqual({shortest, longest});
  });
});
