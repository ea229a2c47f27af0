import {expect, it} from 'vitest';
import {ManualClock} from '../testing/mod.ts';
import {FairAdmission} from './fair_admission.ts';

const WEIGHTS: Record<string, number> = {a: 1, b: 1, heavy: 3};

function createAdmission(maximumConcurrent: number, maximumWaiting = 1024) {
  const clock = new ManualClock();
  const admission = new FairAdmission({
    clock,
    maximumConcurrent,
    maximumWaiting,
    weightOf: team => WEIGHTS[team] ?? 1,
  });
  const started: string[] = [];
  const refused: string[] = [];
  /** Requests admission; once admitted, the request runs for `runsFor` ms. */
  const enter = (
    team: string,
    options: {
      name?: string;
      cost?: number;
      startWithin?: number;
      runsFor?: number;
      signal?: AbortSignal;
    } = {},
  ) => {
    const name = options.name ?? team;
    void admission
      .enter({
        team,
        cost: options.cost ?? 1,
        startBy: clock.monotonicMilliseconds() + (options.startWithin ?? 1e6),
        signal: options.signal ?? new AbortController().signal,
      })
      .then(result => {
        if (result.ok) {
          started.push(name);
          clock.startTimer(options.runsFor ?? 10, () => result.value.release());
        } else {
          const {run, retryAfterMilliseconds} = result.error;
          refused.push(`${name} ${run} ${retryAfterMilliseconds}`);
        }
      });
  };
  return {clock, admission, enter, started, refused};
}

const count = (names: string[], name: string) =>
  names.filter(entry => entry === name).length;

it.each([
  {
    guardsAgainst: 'a larger share for a team that sends more requests',
    enter: {a: 50, b: 10},
    costs: {a: 1, b: 1},
    startedAfter: 20,
    expected: {a: 10, b: 10},
  },
  {
    guardsAgainst: 'ignored weights',
    enter: {a: 50, heavy: 50},
    costs: {a: 1, heavy: 1},
    startedAfter: 40,
    expected: {a: 10, heavy: 30},
  },
  {
    guardsAgainst: 'expensive requests that are counted like cheap ones',
    enter: {a: 50, b: 50},
    costs: {a: 4, b: 1},
    startedAfter: 20,
    expected: {a: 4, b: 16},
  },
])('prevents $guardsAgainst', async test => {
  const {clock, enter, started} = createAdmission(1);
  for (const [team, number] of Object.entries(test.enter)) {
    const cost = (test.costs as Record<string, number>)[team] ?? 1;
    for (let index = 0; index < number; index++) enter(team, {cost});
  }
  await clock.advanceAsync(10 * test.startedAfter - 5);
  for (const [team, expected] of Object.entries(test.expected)) {
    expect(Math.abs(count(started, team) - expected)).toBeLessThanOrEqual(1);
  }
});

it('starts the request with the earliest deadline of a team first', async () => {
  const {clock, enter, started} = createAdmission(1);
  enter('a', {name: 'running'});
  enter('a', {name: 'late', startWithin: 500});
  enter('a', {name: 'soon', startWithin: 100});
  await clock.advanceAsync(100);
  expect(started).toEqual(['running', 'soon', 'late']);
});

it('refuses at the deadline when no running time is known', async () => {
  const {clock, enter, refused} = createAdmission(1);
  enter('a', {name: 'running', runsFor: 1000});
  enter('a', {name: 'late', startWithin: 100});
  await clock.advanceAsync(99);
  expect(refused).toEqual([]);
  await clock.advanceAsync(1);
  expect(refused).toEqual(['late not_run undefined']);
});

it('refuses immediately, with a retry time, a request that would start late', async () => {
  const {clock, enter, refused} = createAdmission(1);
  enter('a', {runsFor: 100});
  await clock.advanceAsync(100);
  for (let index = 0; index < 3; index++) enter('a', {runsFor: 100});
  enter('b', {name: 'hurried', startWithin: 50});
  await clock.advanceAsync(0);
  expect(refused).toEqual(['hurried not_run 200']);
});

it('evicts only waiters of the team that fills the queue', async () => {
  const {clock, enter, started, refused} = createAdmission(1, 5);
  for (let index = 0; index < 20; index++) enter('a');
  enter('b');
  await clock.advanceAsync(200);
  expect(count(started, 'b')).toBe(1);
  expect(refused.every(entry => entry.startsWith('a not_run'))).toBe(true);
});

it('removes a waiter whose request was cancelled', async () => {
  const {clock, admission, enter, started} = createAdmission(1);
  const controller = new AbortController();
  enter('a', {name: 'running'});
  enter('a', {name: 'gone', signal: controller.signal});
  enter('a', {name: 'next'});
  controller.abort();
  await clock.advanceAsync(50);
  expect(started).toEqual(['running', 'next']);
  expect(admission.runningCount).toBe(0);
});
