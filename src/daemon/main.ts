#!/usr/bin/env node
import {Command} from 'commander';
import {createEventLogger} from '../observability/mod.ts';
import {
  describeSettingsError,
  loadSettings,
  type Settings,
} from '../settings/mod.ts';
import {Host} from './host.ts';

const EXIT_CODES = {success: 0, failure: 1, usage: 2} as const;

interface DaemonFlags {
  readonly settings: string;
  readonly checkSettings: boolean;
}

const program = new Command('limpetdaled')
  .description('Entry host of limpetdale')
  .requiredOption('--settings <file>', 'JSON file with the settings')
  .option('--check-settings', 'checks the settings and exits', false)
  .exitOverride(error => {
    process.exit(error.exitCode === 0 ? EXIT_CODES.success : EXIT_CODES.usage);
  })
  .action(run);

await program.parseAsync();

async function run(flags: DaemonFlags): Promise<void> {
  const settings = loadSettings(flags.settings);
  if (!settings.ok) {
    process.stderr.write(describeSettingsError(settings.error) + '\n');
    process.exitCode = EXIT_CODES.usage;
    return;
  }
  if (flags.checkSettings) {
    process.stdout.write(`Settings file "${flags.settings}" is valid\n`);
    return;
  }
  await serve(settings.value);
}

async function serve(settings: Settings): Promise<void> {
  const logger = createEventLogger({
    level: settings.log.level,
    context: {host: settings.hostId},
  });
  // A failed background task must not end the process, which serves traffic.
  process.on('unhandledRejection', reason => {
    logger.event('unexpectedFailure', {reason: describeError(reason)});
  });
  let host: Host;
  try {
    host = await Host.start({settings, logger});
  } catch (error) {
    process.stderr.write(`Cannot start: ${describeError(error)}\n`);
    process.exitCode = EXIT_CODES.failure;
    return;
  }
  const announcement = {hostId: settings.hostId, ...host.addresses};
  process.stdout.write(JSON.stringify(announcement) + '\n');
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => void host.drain());
  }
  await host.stopped;
  process.exit(EXIT_CODES.success);
}

function describeError(error: unknown): string {
  return error instanceof Error
    ? (error.stack ?? error.message)
    : String(error);
}
