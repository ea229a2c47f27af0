/**
 * Library interface of limpetdale. The daemon and the operators' client are thin
 * command-line programs that use it.
 *
 * ```ts
 * const settings = loadSettings('host-1.json');
 * if (settings.ok) await Host.start({settings: settings.value, logger});
 * ```
 *
 * @module
 */
export {
  CLIENT_EXIT_CODES,
  type OperatorClientOptions,
  runOperatorClient,
} from './client/mod.ts';
export {Host, type HostOptions} from './daemon/mod.ts';
export {
  createEventLogger,
  type EventLogger,
  type EventLoggerOptions,
} from './observability/mod.ts';
export {
  describeSettingsError,
  loadSettings,
  type Settings,
  settingsSchema,
} from './settings/mod.ts';
