import {readFileSync} from 'node:fs';
import type {z} from 'zod';
import {failure, type Result, success} from '../errors/mod.ts';
import {type Settings, settingsSchema} from './settings.ts';

/** An invalid setting. */
export interface SettingsProblem {
  /** Path such as `callers.listen.port`; empty for the file as a whole. */
  readonly path: string;
  readonly message: string;
  /** The invalid value as JSON; undefined when the setting is missing. */
  readonly value: string | undefined;
}

/** All problems found in a settings file. */
export interface SettingsError {
  readonly file: string;
  readonly problems: readonly SettingsProblem[];
}

const MAXIMUM_VALUE_LENGTH = 200;

/**
 * Reads and validates a settings file.
 *
 * @param file Path of the JSON file.
 * @returns The settings, or all problems found.
 */
export function loadSettings(file: string): Result<Settings, SettingsError> {
  return readSettings(file, settingsSchema);
}

/**
 * Reads a JSON file and validates it against a schema.
 *
 * @param file Path of the JSON file.
 * @param schema Schema of the content.
 * @returns The settings, or all problems found.
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
  const problems = parsed.error.issues.map(issue => describeIssue(json, issue));
  return failure({file, problems});
}

/** Formats the problems as text, one per line. */
export function describeSettingsError(error: SettingsError): string {
  const lines = error.problems.map(({path, message, value}) => {
    const received = value === undefined ? '' : `; received ${value}`;
    return `  ${path === '' ? '(file)' : path}: ${message}${received}`;
  });
  return [`Cannot use settings file "${error.file}":`, ...lines].join('\n');
}

function describeIssue(
  json: unknown,
  issue: z.core.$ZodIssue,
): SettingsProblem {
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
