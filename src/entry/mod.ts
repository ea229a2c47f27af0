/**
 * Entry host for a platform that provides the configuration, the registration of
 * endpoints and a row store.
 *
 * ```ts
 * const host = await EntryHost.start({settings, platform, clock, logger});
 * await host.drain();
 * ```
 *
 * @module
 */
export {EntryHost} from './entry_host.ts';
export type {EntryContext} from './entry_container.ts';
export {
  type EntryFeatures,
  type EntrySettings,
  entrySettingsSchema,
} from './entry_settings.ts';
export type {
  ExplanationError,
  ExplanationQuery,
  RequestExplanation,
  RequestOutcome,
} from './explain_request.ts';
export type {AddressQuery, PlatformAdapter} from './platform_adapter.ts';
