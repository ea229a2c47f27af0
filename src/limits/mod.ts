/**
 * Rate limiting of each team across all hosts: token buckets, token loans
 * between hosts, and reservations for single requests.
 *
 * @module
 */
export {
  type AdmissionRequest,
  type AdmissionSlot,
  FairAdmission,
  type FairAdmissionOptions,
} from './fair_admission.ts';
export {
  OutputEstimator,
  type OutputEstimatorOptions,
} from './output_estimator.ts';
export {TeamLimiter, type TeamLimiterOptions} from './team_limiter.ts';
export {
  TokenBucket,
  type TokenBucketTerms,
  type TokenHold,
} from './token_bucket.ts';
export type * from './token_reserver.ts';
export {
  FleetRateLimiter,
  type FleetRateLimiterOptions,
  type TeamSpending,
} from './fleet_rate_limiter.ts';
