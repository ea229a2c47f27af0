import {createConsola, type ConsolaReporter, LogLevels} from 'consola';
import {EVENTS, type EventLevel, type EventName} from './events.ts';

/** Fields of an event; must not contain request headers, API keys or bodies. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Writes log events of the catalogue {@link EVENTS}. */
export interface EventLogger {
  /** Writes one event with its fields. */
  event(name: EventName, fields?: EventFields): void;
}

/** Options of {@link createEventLogger}. */
export interface EventLoggerOptions {
  /** Minimum level of events that are written. @default 'info' */
  level?: EventLevel;
  /** Fields added to every event, such as the host id. */
  context?: EventFields;
  /** Receives each line. @default standard error */
  write?: (line: string) => void;
}

const CONSOLA_LEVELS = {
  debug: LogLevels.debug,
  info: LogLevels.info,
  warn: LogLevels.warn,
  error: LogLevels.error,
} as const satisfies Record<EventLevel, number>;

/**
 * Creates a logger that writes one JSON object per line.
 *
 * @example
 * ```ts
 * const logger = createEventLogger({context: {host: 'host-1'}});
 * logger.event('hostStarted', {port: 8080});
 * ```
 */
export function createEventLogger(
  options: EventLoggerOptions = {},
): EventLogger {
  const write =
    options.write ?? ((line: string) => process.stderr.write(`${line}\n`));
  const reporter: ConsolaReporter = {
    log: entry => write(JSON.stringify(entry.args[0])),
  };
  const consola = createConsola({
    level: CONSOLA_LEVELS[options.level ?? 'info'],
    // By default, consola drops lines that repeat within a second; every event
    // must be logged.
    throttle: 0,
    reporters: [reporter],
  });
  return {
    event(name, fields) {
      const definition = EVENTS[name];
      consola[definition.level]({
        args: [
          {
            time: new Date().toISOString(),
            event: definition.number,
            name,
            level: definition.level,
            message: definition.message,
            ...options.context,
            ...fields,
          },
        ],
      });
    },
  };
}

/** Logger that discards all events, for tests and for library use without logs. */
export const SILENT_LOGGER: EventLogger = {event: () => undefined};
