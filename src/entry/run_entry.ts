import {Command} from 'commander';
import {
  createEventLogger,
  type EventName,
  LineWriter,
  RateLimitedLogger,
} from '../observability/mod.ts';
import {createPlatform, deploymentFeatures} from '../platform/mod.ts';
import {describeSettingsError, readSettings} from '../settings/mod.ts';
import type {ProcessSignals} from '../signals/mod.ts';
import {sleep, SystemClock} from '../time/mod.ts';
import {EntryHost} from './entry_host.ts';
import {type EntrySettings, entrySettingsSchema} from './entry_settings.ts';
import {environmentSettings} from './environment_settings.ts';

/** Environment variable with the path of the settings file. */
const SETTINGS_VARIABLE = 'LIMPETDALE_BOOT';

/** Time-out for writing the queued log lines before the process exits. */
const LOG_FLUSH_MILLISECONDS = 50;

const EXIT_CODES = {success: 0, failure: 1, usage: 2} as const;

/** Events of successful requests, of which only a sample is logged. */
const SAMPLED_EVENTS: ReadonlySet<EventName> = new Set<EventName>([
  'requestServed',
  'addressesAnswered',
]);

interface Flags {
  readonly settings: string | undefined;
  readonly checkSettings: boolean;
}

/** Runs the program of an entry host with the arguments of the process. */
export async function runEntry(signals: ProcessSignals): Promise<void> {
  await new Command('limpetdale-entry')
    .description('Entry host of limpetdale on the users’ platform')
    .option(
      '--settings <file>',
      'JSON file with the settings',
      process.env[SETTINGS_VARIABLE],
    )
    .option('--check-settings', 'checks the settings and exits', false)
    .exitOverride(error => {
      process.exit(
        error.exitCode === 0 ? EXIT_CODES.success : EXIT_CODES.usage,
      );
    })
    .action((flags: Flags) => run(flags, signals))
    .parseAsync();
}

async function run(flags: Flags, signals: ProcessSignals): Promise<void> {
  if (flags.settings === undefined) {
    fail(`Give --settings, or set ${SETTINGS_VARIABLE}.`, EXIT_CODES.usage);
    return;
  }
  const settings = readSettings(flags.settings, entrySettingsSchema);
  if (!settings.ok) {
    fail(describeSettingsError(settings.error), EXIT_CODES.usage);
    return;
  }
  if (flags.checkSettings) {
    process.stdout.write(`Settings file "${flags.settings}" is valid\n`);
    return;
  }
  const environment = environmentSettings(process.env, settings.value);
  if (!environment.ok) {
    fail(environment.error, EXIT_CODES.usage);
    return;
  }
  const {agreements = settings.value.agreements} = environment.value;
  await serve(
    flags.settings,
    {
      ...deploymentFeatures(agreements),
      ...settings.value,
      ...environment.value,
    },
    signals,
  );
}

async function serve(
  file: string,
  settings: EntrySettings,
  signals: ProcessSignals,
): Promise<void> {
  const clock = new SystemClock();
  const writer = new LineWriter({
    onDropped: lines => logger.event('logLinesDropped', {lines}),
  });
  const logger = new RateLimitedLogger({
    logger: createEventLogger({
      context: {host: settings.hostId},
      write: line => writer.write(line),
    }),
    clock,
    sampled: SAMPLED_EVENTS,
    sampledPerSecond: settings.log.servedLinesPerSecond,
    othersPerSecond: settings.log.otherLinesPerSecond,
  });
  process.on('unhandledRejection', reason => {
    logger.event('unexpectedFailure', {reason: describe(reason)});
  });
  process.on('uncaughtException', error => {
    logger.event('unexpectedFailure', {reason: describe(error)});
  });
  const exit = async () => {
    await Promise.race([
      writer.flushed(),
      sleep(clock, LOG_FLUSH_MILLISECONDS),
    ]);
    process.exit(EXIT_CODES.success);
  };
  const startController = new AbortController();
  signals.onStop(() => startController.abort());
  let host: EntryHost | undefined;
  try {
    host = await EntryHost.start(
      {
        settings,
        clock,
        logger,
        platform: createPlatform({
          address: settings.store,
          timeoutMilliseconds: settings.storeTimeoutMilliseconds,
        }),
      },
      startController.signal,
    );
  } catch (error) {
    fail(`Cannot start: ${describe(error)}`, EXIT_CODES.failure);
    process.exit();
  }
  if (host === undefined) {
    await exit();
    return;
  }
  const started = host;
  signals.onReload(() => {
    // Settings cannot change while the process runs. The file is still validated,
    // so that an invalid one is reported before the next start fails on it.
    const next = readSettings(file, entrySettingsSchema);
    logger.event('settingsReloaded', {
      isValid: next.ok,
      ...(next.ok ? {} : {problems: next.error.problems}),
    });
  });
  signals.onStop(() => void started.drain().then(exit));
}

function fail(message: string, exitCode: number): void {
  process.stderr.write(`${message}\n`);
  process.exitCode = exitCode;
}

function describe(error: unknown): string {
  return error instanceof Error
    ? (error.stack ?? error.message)
    : String(error);
}
