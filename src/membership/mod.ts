/**
 * Cluster membership: heartbeats between hosts, replication of the change log
 * to peers, confirmation that this host's copy of the authority is current,
 * proof that a change is in effect, and maintenance of the member list.
 *
 * ```ts
 * const membership = new Membership({
 *   channel, changeLog, hostList, clock, logger,
 * });
 * membership.start();
 * const accepted = await membership.effect.waitUntilInEffect(version, 5000);
 * ```
 *
 * @module
 */
export {ConfirmedView, type ConfirmedViewOptions} from './confirmed_view.ts';
export {EffectTracker, type EffectTrackerOptions} from './effect_tracker.ts';
export {
  DEFAULT_VIEW_TIMEOUT_MILLISECONDS,
  HeartbeatExchange,
  type HeartbeatExchangeOptions,
  type HeartbeatReply,
} from './heartbeat_exchange.ts';
export {LogExchange, type LogExchangeOptions} from './log_exchange.ts';
export {
  memberLists,
  nthLargest,
  readQuorum,
  writeQuorum,
} from './member_quorum.ts';
export {Membership, type MembershipOptions} from './membership.ts';
export {
  MembershipReconciler,
  type MembershipReconcilerOptions,
} from './membership_reconciler.ts';
export {rendezvousOrder} from './rendezvous_order.ts';
export {rendezvousWeight} from './rendezvous_weight.ts';
export {
  StoppedMemberDetector,
  type StoppedMemberDetectorOptions,
  type StopObservation,
} from './stopped_member_detector.ts';
export type {ViewStatus} from './view_status.ts';
