import {Command, InvalidArgumentError} from 'commander';
import {startVitest} from 'vitest/node';

/**
 * Names of the property tests that compare with an oracle. Their mutation tests
 * use fixed seeds and are left out.
 */
const PROPERTY_TEST_NAMES = [
  'keeps the rules of the request path whatever fails',
  'placement keeps its rules under random faults',
  'leases and views under faults keep the properties$',
  'spends at most burst plus rate times interval over all hosts',
] as const;

interface FuzzFlags {
  readonly seed: number;
  readonly runs: number;
}

const program = new Command('fuzz')
  .description('Runs the stateful property tests for longer than npm test')
  .requiredOption('--seed <number>', 'any 32-bit number', parseInteger)
  .requiredOption('--runs <number>', 'runs of each fuzzer', parseInteger)
  .action(run);

await program.parseAsync();

async function run(flags: FuzzFlags): Promise<void> {
  process.stdout.write(`seed ${flags.seed}, runs ${flags.runs}\n`);
  process.env['FUZZ_SEED'] = String(flags.seed);
  process.env['FUZZ_RUNS'] = String(flags.runs);
  const vitest = await startVitest('test', ['src'], {
    run: true,
    testNamePattern: PROPERTY_TEST_NAMES.join('|'),
    // The duration is limited only by the number of runs.
    testTimeout: 0,
  });
  await vitest.close();
}

function parseInteger(text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value)) {
    throw new InvalidArgumentError('It must be a whole number.');
  }
  return value;
}
