import {afterAll, beforeAll, expect, test} from 'vitest';
import {BuiltPrograms} from '../src/testing/program_process.ts';
import {SoakRun} from './soak_run.ts';

const SECONDS = 30;
const TEST_TIMEOUT_MILLISECONDS = 240_000;

let programs: BuiltPrograms;

beforeAll(() => {
  programs = BuiltPrograms.build();
});

afterAll(() => programs.remove());

// Guards the promises of the system against faults that come in series and overlap, with
// the real programs: kills, planned stops, pauses, and drills of the store among them.
test.each([{seed: 1}, {seed: 2}])(
  'the promises hold under the faults of seed $seed',
  async ({seed}) => {
    const run = new SoakRun({seed, seconds: SECONDS, hosts: 4, programs});
    const {violations, ownEnds, served, orders, wentOn} = await run.run();
    expect(violations).toEqual([]);
    expect(ownEnds).toEqual([]);
    expect(served).toBeGreaterThan(0);
    expect(orders).toBeGreaterThan(0);
    expect(wentOn).toBeGreaterThan(0);
  },
  TEST_TIMEOUT_MILLISECONDS,
);
