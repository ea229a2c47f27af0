/**
 * Interfaces of the platform's services, with their HTTP clients.
 *
 * ```ts
 * const table = new HttpTableService({address: 'http://127.0.0.1:7001'});
 * const rows = await table.read(['head']);
 * ```
 *
 * @module
 */
export type {PlatformClientOptions} from './_post_json.ts';
export {
  RateLimitedTableService,
  type RateLimitedTableServiceOptions,
} from './rate_limited_table_service.ts';
export {
  HOST_STATES,
  type HostList,
  type HostState,
  type ListedHost,
} from './host_list.ts';
export {HttpHostList} from './http_host_list.ts';
export {HttpObjectStore} from './http_object_store.ts';
export {HttpTableService} from './http_table_service.ts';
export {HttpWeightStore} from './http_weight_store.ts';
export type {JsonValue} from './json_value.ts';
export type {ObjectStore} from './object_store.ts';
export {
  ExpiredRowRemover,
  type ExpiredRowRemoverOptions,
  type RemovalResult,
} from './expired_row_remover.ts';
export type {PlatformError, PlatformStep} from './platform_error.ts';
export type {
  CommitResult,
  ScanOptions,
  TableCondition,
  TableRow,
  TableService,
  TableTransaction,
  TableWrite,
} from './table_service.ts';
export {
  TRANSACTION_MARKER_PREFIX,
  transactionMarkerKey,
  TransactionWriter,
  type TransactionWriterOptions,
  type WriteResult,
} from './transaction_writer.ts';
export type {Checkpoint, WeightStore} from './weight_store.ts';
export type {
  CommitOutcome,
  FollowOptions,
  Row,
  RowChange,
  RowPage,
  RowStore,
  RowStoreError,
} from './row_store.ts';
export {
  type StoreCall,
  StoreClock,
  type StoreClockOptions,
} from './store_clock.ts';
export {StoreEra} from './store_era.ts';
export {TableFollower} from './table_follower.ts';
export type {TableFollowerOptions} from './table_follower_options.ts';
export type {RowSource} from './row_source.ts';
export type {TableUpdate} from './table_update.ts';
