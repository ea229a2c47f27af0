/**
 * The authority: the replicated state that determines what is permitted (such
 * as contracts, keys, routes and pools) and which host decides (members and
 * leases). It is versioned, and changed only through a log in the table
 * service.
 *
 * ```ts
 * const result = await log.submit('change-1', 'operator', {
 *   kind: 'withdraw_key',
 *   keyId: 'key-1',
 * });
 * ```
 *
 * @module
 */
export {CHANGE_PREFIX, logKey} from './_log_rows.ts';
export {addressSchema, nameSchema} from './_schemas.ts';
export {type Adapter, adapterSchema} from './adapter.ts';
export {applyChange} from './apply_change.ts';
export {type Authority, EMPTY_AUTHORITY} from './authority.ts';
export {
  decodeSnapshot,
  encodeSnapshot,
  type SnapshotError,
} from './authority_snapshot.ts';
export {
  type Change,
  changeSchema,
  type LogEntry,
  logEntrySchema,
} from './change.ts';
export {
  type AuthorityListener,
  ChangeLog,
  type ChangeLogOptions,
  type SubmitResult,
} from './change_log.ts';
export {type ChangeRejection, describeRejection} from './change_rejection.ts';
export {type Contract, contractSchema, type Revised} from './contract.ts';
export {type Endpoint, ENDPOINT_PROTOCOLS, endpointSchema} from './endpoint.ts';
export {type KeyRecord, keyRecordSchema} from './key_record.ts';
export {type Lease, type LeaseHolder, leaseSchema} from './lease.ts';
export {
  type CompactionResult,
  LogCompactor,
  type LogCompactorOptions,
} from './log_compactor.ts';
export {type Member, memberSchema} from './member.ts';
export {
  CHECKPOINT_TIERS,
  type CheckpointTier,
  type Model,
  modelSchema,
} from './model.ts';
export {type Pool, POOL_KINDS, poolSchema} from './pool.ts';
export {
  type QuarantineEntry,
  quarantineEntrySchema,
} from './quarantine_entry.ts';
export {
  type RouteRule,
  type ServiceRoute,
  serviceRouteSchema,
} from './service_route.ts';
