import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
  FUZZ_TIME_LIMIT_MILLISECONDS,
  fuzzParameters,
} from '../testing/fuzz_parameters.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {OriginFleet, type OriginHost} from '../testing/origin_fleet.ts';
import type {StoreAccess} from '../testing/origin_rows.ts';

const HOSTS = ['host-1', 'host-2', 'host-3'];

/** Versions in service in the course of two releases, of which hosts learn by and by. */
const STAGES = [['v1'], ['v1', 'v2'], ['v2'], ['v2', 'v3'], ['v3']] as const;

const ACCESSES: readonly StoreAccess[] = [
  'served',
  'served',
  'turned_away',
  'silent',
  'slow',
  'answers_lost',
];

const {seed: SEED, runs: RUNS} = fuzzParameters(150);

type Step =
  | {
      kind: 'begin';
      host: string;
      choice: number;
      streams: number;
      /** Whether another version is tried before, without an event. */
      isRetried: boolean;
    }
  | {kind: 'find'; host: string; choice: number}
  /** The release goes on. */
  | {kind: 'release'}
  /** A host learns of the versions that are in service now. */
  | {kind: 'learn'; host: string}
  | {kind: 'access'; host: string; access: StoreAccess}
  | {kind: 'isolate' | 'pause'; host: string; isOn: boolean}
  | {kind: 'restart' | 'stop'; host: string}
  | {kind: 'advance'; milliseconds: number};

const host = fc.constantFrom(...HOSTS);
const choice = fc.nat(100);

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      ...{kind: fc.constant('begin' as const), host, choice},
      streams: fc.integer({min: 1, max: 4}),
      isRetried: fc.boolean(),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({kind: fc.constant('find' as const), host, choice}),
  },
  {
    weight: 4,
    arbitrary: fc.record({kind: fc.constant('learn' as const), host}),
  },
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('release' as const)}),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      ...{kind: fc.constant('access' as const), host},
      access: fc.constantFrom(...ACCESSES),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      ...{kind: fc.constantFrom('isolate' as const, 'pause' as const), host},
      isOn: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom('restart' as const, 'stop' as const),
      host,
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      milliseconds: fc.constantFrom(5, 30, 120, 400, 1500, 6000),
    }),
  },
);

/** Plays steps; fails when a host finds another version than a stream began at. */
async function play(steps: readonly Step[]): Promise<void> {
  const clock = new ManualClock();
  const fleet = new OriginFleet(clock);
  for (const id of HOSTS) fleet.start(id, 'v1');
  let stage = 0;
  let streams = 0;
  const wrong: string[] = [];
  const ask = async (asked: OriginHost, key: string) => {
    const version = fleet.forwarded.get(key);
    const found = await asked.find(key);
    if (/^v/.test(found) && found !== version)
      wrong.push(`${key} of ${version} goes on at ${found}`);
  };
  for (const current of steps) {
    if (current.kind === 'advance') {
      await clock.advanceAsync(current.milliseconds);
      continue;
    }
    if (current.kind === 'release') {
      stage = Math.min(stage + 1, STAGES.length - 1);
      continue;
    }
    const process = fleet.hosts.get(current.host)!;
    switch (current.kind) {
      case 'begin':
        if (!process.clock.isRunning) break;
        for (let count = 0; count < current.streams; count++) {
          const {known} = process;
          const version = known[(current.choice + count) % known.length]!;
          const tried = current.isRetried ? known : [];
          void process.begin(`r${++streams}`, version, tried);
        }
        break;
      case 'find': {
        const living = fleet.recorded();
        const key = living[current.choice % Math.max(1, living.length)];
        if (key !== undefined && process.clock.isRunning)
          void ask(process, key);
        break;
      }
      case 'learn':
        process.see(...STAGES[stage]!);
        break;
      case 'access':
        process.access = current.access;
        break;
      case 'isolate':
        if (current.isOn) fleet.isolated.add(current.host);
        else fleet.isolated.delete(current.host);
        break;
      case 'pause':
        if (current.isOn) process.clock.pause();
        else process.clock.resume();
        break;
      case 'restart':
      case 'stop':
        if (current.kind === 'stop') {
          const stopped = fleet.stop(current.host);
          await clock.advanceAsync(500);
          await stopped;
        }
        fleet.start(current.host, ...process.known);
        break;
    }
  }
  // Whoever is asked in the end, by a process without memory too.
  for (const id of HOSTS) {
    fleet.hosts.get(id)!.access = 'served';
    fleet.hosts.get(id)!.clock.resume();
  }
  const fresh = fleet.start('host-4', 'v1');
  for (const key of fleet.recorded()) {
    void ask(fresh, key);
    void ask(fleet.hosts.get('host-1')!, key);
  }
  await clock.advanceAsync(2500);
  expect(wrong).toEqual([]);
}

// Guards against streams that go on at another version: pages that tell more than the
// host that has written them can answer for, in any order of events.
test(
  'streams keep their version whatever happens to hosts and to the store',
  () =>
    fc.assert(
      fc.asyncProperty(fc.array(step, {minLength: 20, maxLength: 60}), play),
      {seed: SEED, numRuns: RUNS},
    ),
  FUZZ_TIME_LIMIT_MILLISECONDS,
);
