import {failure, type Result, success} from '../errors/mod.ts';
import type {EntrySettings} from './entry_settings.ts';

/**
 * Environment variables that replace settings. The platform sets them empty where its
 * own settings have no value, which a JSON file can't express.
 */
export const ENVIRONMENT_VARIABLES = {
  /** Memory limit of the process, in MB. */
  memory: 'LIMPETDALE_MEMORY_MB',
  /** Agreements of the deployment, separated by commas. */
  agreements: 'LIMPETDALE_AGREEMENTS',
  coldOverrun: 'LIMPETDALE_COLD_OVERRUN',
  coldSlack: 'LIMPETDALE_COLD_SLACK',
} as const;

/** Settings that the environment can replace. */
export type EnvironmentSettings = Partial<
  Pick<EntrySettings, 'agreements' | 'coldEngines' | 'memoryMegabytes'>
>;

/**
 * Reads the settings that the environment replaces.
 *
 * @returns An error message if a value is not a number that is 0 or more.
 */
export function environmentSettings(
  environment: Readonly<Record<string, string | undefined>>,
  {coldEngines}: Pick<EntrySettings, 'coldEngines'>,
): Result<EnvironmentSettings, string> {
  const textOf = (name: string) => environment[name]?.trim() ?? '';
  const {memory, agreements, coldOverrun, coldSlack} = ENVIRONMENT_VARIABLES;
  for (const name of [memory, coldOverrun, coldSlack]) {
    const value = Number(textOf(name));
    if (!Number.isFinite(value) || value < 0) {
      return failure(
        `Cannot read ${name}: must be a number that is 0 or more, received "${textOf(name)}"`,
      );
    }
  }
  const numberOf = (name: string) => Number(textOf(name));
  return success({
    ...(numberOf(memory) > 0 ? {memoryMegabytes: numberOf(memory)} : {}),
    ...(textOf(agreements) === ''
      ? {}
      : {agreements: textOf(agreements).split(',')}),
    ...(numberOf(coldOverrun) > 0
      ? {
          coldEngines: {
            overrun: numberOf(coldOverrun),
            slack:
              textOf(coldSlack) === ''
                ? coldEngines.slack
                : numberOf(coldSlack),
          },
        }
      : {}),
  });
}
