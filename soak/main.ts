import {mkdirSync, writeFileSync} from 'node:fs';
import {Command, InvalidArgumentError} from 'commander';
import {BuiltPrograms} from '../src/testing/program_process.ts';
import {PROMISES} from './check_promises.ts';
import {SoakRun} from './soak_run.ts';

interface SoakFlags {
  readonly seed: number;
  readonly seconds: number;
  readonly hosts: number;
}

const DEFAULT_HOSTS = 12;

/** Violations of each promise that are printed whole. */
const PRINTED_VIOLATIONS = 5;

const program = new Command('soak')
  .description('Runs the real programs as processes under faults from outside')
  .requiredOption('--seed <number>', 'any 32-bit number', parseInteger)
  .requiredOption('--seconds <number>', 'time with faults', parseInteger)
  .option('--hosts <number>', 'number of hosts', parseInteger, DEFAULT_HOSTS)
  .action(run);

await program.parseAsync();

async function run({seed, seconds, hosts}: SoakFlags): Promise<void> {
  print({seed, seconds, hosts});
  const programs = BuiltPrograms.build();
  const soak = new SoakRun({seed, seconds, hosts, programs});
  for (const signal of ['SIGINT', 'SIGTERM'] as const)
    process.once(signal, () => {
      void soak.end().then(() => process.exit(1));
    });
  try {
    const {violations, logs, ...figures} = await soak.run();
    for (const promise of PROMISES)
      violations
        .filter(found => found.promise === promise)
        .slice(0, PRINTED_VIOLATIONS)
        .forEach(print);
    const targets = [
      ...PROMISES.map(promise => {
        const broken = violations.filter(found => found.promise === promise);
        return target(promise, 'violations', broken.length);
      }),
      target(
        'processes_that_end_by_themselves',
        'processes',
        figures.ownEnds.length,
      ),
    ];
    const isClean = targets.every(({met}) => met);
    if (!isClean) writeLogs(seed, logs);
    print({scenario: 'soak', seed, targets, figures});
    process.exitCode = isClean ? 0 : 1;
  } finally {
    programs.remove();
  }
}

function target(name: string, unit: string, measured: number) {
  return {name, unit, target: 0, measured, met: measured === 0};
}

function writeLogs(seed: number, logs: ReadonlyMap<string, string>): void {
  const folder = new URL(`../target/soak-${seed}/`, import.meta.url).pathname;
  mkdirSync(folder, {recursive: true});
  for (const [host, log] of logs) writeFileSync(`${folder}${host}.log`, log);
  print({logs: folder});
}

function print(line: object): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

function parseInteger(text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value))
    throw new InvalidArgumentError('It must be a whole number.');
  return value;
}
