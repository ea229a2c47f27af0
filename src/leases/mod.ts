/**
 * Leases of scopes: who makes a scope's decisions, and under which fencing
 * number.
 *
 * ```ts
 * leases.want('pool:label-models');
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
