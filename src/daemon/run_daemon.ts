import {Command} from 'commander';
import {createEventLogger} from '../observability/mod.ts';
import {
  describeSettingsError,
  loadSettings,
  type Settings,
} from '../settings/mod.ts';
import type {ProcessSignals} from '../signals/mod.ts';
import {Host} from './host.ts';

const EXIT_CODES = {success: 0, failure: 1, usage: 2} as const;

interface DaemonFlags {
  readonly settings: string;
  readonly checkSettings: boolean;
}

/** Runs the daemon with the arguments of the process. */
export async function runDaemon(signals: ProcessSignals): Promise<void> {
  await new Command('limpetdaled')
    .description('Entry host of limpetdale')
    .requiredOption('--settings <file>', 'JSON file with the settings')
    .option('--check-settings', 'checks the settings and exits', false)
    .exitOverride(error => {
      process.exit(
        error.exitCode === 0 ? EXIT_CODES.success : EXIT_CODES.usage,
      );
    })
    .action((flags: DaemonFlags) => run(flags, signals))
    .parseAsync();
}

async function run(flags: DaemonFlags, signals: ProcessSignals): Promise<void> {
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
  await serve(flags.settings, settings.value, signals);
}

async function serve(
  file: string,
  settings: Settings,
  signals: ProcessSignals,
): Promise<void> {
  const logger = createEventLogger({
    level: settings.log.level,
    context: {host: settings.hostId},
  });
  // A failed background task must not end the process, which serves traffic.
  process.on('unhandledRejection', reason => {
    logger.event('unexpectedFailure', {reason: describeError(reason)});
  });
  process.on('uncaughtException', error => {
    logger.event('unexpectedFailure', {reason: describeError(error)});
  });
  // Nothing has been accepted before the start has ended.
  signals.onStop(() => process.exit(EXIT_CODES.success));
  signals.onReload(() => {
    // Settings cannot change while the process runs. The file is still validated,
    // so that an invalid one is reported before the next start fails on it.
    const next = loadSettings(file);
    logger.event('settingsReloaded', {
      isValid: next.ok,
      ...(next.ok ? {} : {problems: next.error.problems}),
    });
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
  signals.onStop(() => void host.drain());
  await host.stopped;
  process.exit(EXIT_CODES.success);
}

function describeError(error: unknown): string {
  return error instanceof Error
    ? (error.stack ?? error.message)
    : String(error);
}
