/**
 * Software versions at which streams have begun, so that they go on at no other.
 *
 * ```ts
 * const recorded = origins.begin(stream, endpoint.record.softwareVersion);
 * await recorded;
 * ```
 *
 * @module
 */
export {type OriginPage, type ServiceMode} from './origin_page.ts';
export {
  ORIGIN_TABLE,
  OriginStore,
  type OriginStoreOptions,
} from './origin_store.ts';
export {type ResumableStream, UNNAMED_STREAM} from './resumable_stream.ts';
export {
  type BeginLimit,
  type StreamOrigin,
  StreamOrigins,
  type StreamOriginsOptions,
} from './stream_origins.ts';
