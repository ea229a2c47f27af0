/**
 * Settings of a host, read from a JSON file and validated against a schema.
 *
 * ```ts
 * const settings = loadSettings('host-1.json');
 * ```
 *
 * @module
 */
export {
  describeSettingsError,
  loadSettings,
  readSettings,
  type SettingsError,
  type SettingsProblem,
} from './load_settings.ts';
export {type Settings, settingsSchema} from './settings.ts';
