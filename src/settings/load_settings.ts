import {readFileSync} from 'node:fs';
import type {z} from 'zod';
import {failure, type Result, success} from '../errors/mod.ts';
import {type Settings, settingsSchema} from './settings.ts';

/** One wrong setting. */
export interface SettingsProblem {
  /** Path such as `callers.listen.port`; empty for the whole file. */
  readonly path: string;
  readonly message: string;
  /** The value found, as JSON; undefined when it is missing. */
  readonly value: string | undefined;
}

/** Every problem of a settings file. */
export interface SettingsError {
  readonly file: string;
  readonly problems: readonly SettingsProblem[];
}

const MAXIMUM_VALUE_LENGTH = 200;

/**
 * Reads and checks a settings file.
 *
 * @param file Path of the JSON file.
 * @returns The settings, or all problems at once.
 */
export function loadSettings(file: string): Result<Settings, SettingsError> {
  return readSettings(file, settingsSchema);
}

/**
 * Reads a JSON file and checks it against a schema.
 *
 * @param file Path of the JSON file.
 * @param schema What the file must hold.
 * @returns The settings, or all problems at once.
 */
export function readSettings<Content>(
  file: string,
  schema: z.ZodType<Content>,
): Result<Content, SettingsError> {
  let json: unknown;
  try {
    json = JSON.parse(readFileSync(file, 'utf8'));
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return failure({file, problems: [{path: '', message, value: undefined}]});
  }
  const parsed = schema.safeParse(json);
  if (parsed.success) return success(parsed.data);
  const problems = parsed.error.issues.map(issue => describe(json, issue));
  return failure({file, problems});
}

/** Renders the problems, one a line. */
export function describeSettingsError(error: SettingsError): string {
  const lines = error.problems.map(({path, message, value}) => {
    const received = value === undefined ? '' : `; received ${value}`;
    return `  ${path === '' ? '(file)' : path}: ${message}${received}`;
  });
  return [`Cannot use settings file "${error.file}":`, ...lines].join('\n');
}

function describe(json: unknown, issue: z.core.$ZodIssue): SettingsProblem {
  const value = valueAt(json, issue.path);
  return {
    path: issue.path.map(String).join('.'),
    message: issue.message,
    value: JSON.stringify(value)?.slice(0, MAXIMUM_VALUE_LENGTH),
  };
}

function valueAt(json: unknown, path: readonly PropertyKey[]): unknown {
  let value = json;
  for (const key of path) {
    if (typeof value !== 'object' || value === null) return undefined;
    value = (value as Record<PropertyKey, unknown>)[key];
  }
  return value;
}
