/**
 * Leases of scopes. A lease determines which host makes the decisions of a
 * scope, and the epoch that serves as its fencing token.
 *
 * ```ts
 * leases.addScope('pool:label-models');
 * const epoch = leases.actingEpoch('pool:label-models');
 * if (epoch === undefined) return;
 * ```
 *
 * @module
 */
export {
  HolderFailureDetector,
  type HolderFailureDetectorOptions,
} from './holder_failure_detector.ts';
export type {LeaseAuthority} from './lease_authority.ts';
export {LeaseManager, type LeaseManagerOptions} from './lease_manager.ts';
