import type {ChangeLog} from '../contracts/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {PeerChannel} from '../peers/mod.ts';
import type {HostList} from '../stores/mod.ts';
import type {Clock} from '../time/mod.ts';
import {ConfirmedView} from './confirmed_view.ts';
import {EffectTracker} from './effect_tracker.ts';
import {HeartbeatExchange} from './heartbeat_exchange.ts';
import {LogExchange} from './log_exchange.ts';
import {MembershipReconciler} from './membership_reconciler.ts';
import {StoppedMemberDetector} from './stopped_member_detector.ts';

/** Options of {@link Membership}. */
export interface MembershipOptions {
  channel: PeerChannel;
  changeLog: ChangeLog;
  hostList: HostList;
  clock: Clock;
  logger: EventLogger;
  /** Whether this host is about to stop. @default () => false */
  isLeaving?: () => boolean;
  /**
   * Milliseconds for which evidence confirms the view; must be the same on all
   * hosts. T in the design. @default 3000
   */
  viewTimeoutMilliseconds?: number;
  /** Milliseconds between two heartbeats to one peer. @default 750 */
  heartbeatIntervalMilliseconds?: number;
  /** Milliseconds between two reads of the head row. @default 1000 */
  tableIntervalMilliseconds?: number;
  /** Milliseconds between two reads of the host list. @default 1000 */
  hostListIntervalMilliseconds?: number;
  /**
   * Milliseconds for which connections to a member must be refused before it is
   * removed. @default 60000
   */
  removeAfterRefusedMilliseconds?: number;
}

/**
 * Wires the membership components of one host together.
 *
 * @example
 * ```ts
 * const membership = new Membership({
 *   channel, changeLog, hostList, clock, logger,
 * });
 * membership.start();
 * await membership.view.waitUntilConfirmed();
 * ```
 */
export class Membership {
  readonly heartbeats: HeartbeatExchange;
  readonly stoppedMembers: StoppedMemberDetector;
  readonly effect: EffectTracker;
  readonly logExchange: LogExchange;
  readonly view: ConfirmedView;
  readonly reconciler: MembershipReconciler;

  constructor(options: MembershipOptions) {
    const {channel, changeLog, clock, logger} = options;
    const {self} = channel;
    const {hostId, peerAddress} = self;
    const shared = {channel, changeLog, clock, logger, hostId};
    const heartbeats = new HeartbeatExchange({
      ...shared,
      ...optional('isLeaving', options.isLeaving),
      ...optional('viewTimeoutMilliseconds', options.viewTimeoutMilliseconds),
      ...optional(
        'intervalMilliseconds',
        options.heartbeatIntervalMilliseconds,
      ),
    });
    const stoppedMembers = new StoppedMemberDetector({
      ...shared,
      heartbeats,
      hostList: options.hostList,
      ...optional('intervalMilliseconds', options.hostListIntervalMilliseconds),
    });
    const effect = new EffectTracker({...shared, heartbeats, stoppedMembers});
    this.heartbeats = heartbeats;
    this.stoppedMembers = stoppedMembers;
    this.effect = effect;
    this.logExchange = new LogExchange({...shared, heartbeats});
    this.view = new ConfirmedView({
      ...shared,
      peerAddress,
      heartbeats,
      effect,
      ...optional(
        'tableIntervalMilliseconds',
        options.tableIntervalMilliseconds,
      ),
    });
    this.reconciler = new MembershipReconciler({
      ...shared,
      self: {
        hostId,
        peerAddress,
        callerAddress: self.callerAddress,
        dataCentre: self.dataCentre,
      },
      incarnation: self.incarnation,
      view: this.view,
      effect,
      heartbeats,
      stoppedMembers,
      ...optional(
        'removeAfterRefusedMilliseconds',
        options.removeAfterRefusedMilliseconds,
      ),
    });
  }

  /** Starts all components. */
  start(): void {
    this.heartbeats.start();
    this.logExchange.start();
    this.stoppedMembers.start();
    this.effect.start();
    this.view.start();
    this.reconciler.start();
  }

  /** Stops all components, in reverse order. */
  stop(): void {
    this.reconciler.stop();
    this.view.stop();
    this.effect.stop();
    this.stoppedMembers.stop();
    this.logExchange.stop();
    this.heartbeats.stop();
  }
}

/**
 * An object with the property, or an empty object if the value is undefined, so
 * that the receiver's default applies.
 */
function optional<Name extends string, Value>(
  name: Name,
  value: Value | undefined,
): Partial<Record<Name, Value>> {
  return value === undefined ? {} : ({[name]: value} as Record<Name, Value>);
}
