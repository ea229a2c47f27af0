import type {Change, ChangeLog, Member} from '../contracts/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import type {EffectTracker} from './effect_tracker.ts';
import type {HeartbeatExchange} from './heartbeat_exchange.ts';
import {rendezvousOrder} from './rendezvous_order.ts';
import type {StoppedMemberDetector} from './stopped_member_detector.ts';
import type {ViewStatus} from './view_status.ts';

/** Options of {@link MembershipReconciler}. */
export interface MembershipReconcilerOptions {
  /** This host's entry in the member list. */
  self: Member;
  /** Id of this run of the process; part of the change ids it submits. */
  incarnation: string;
  changeLog: ChangeLog;
  view: ViewStatus;
  effect: EffectTracker;
  heartbeats: HeartbeatExchange;
  stoppedMembers: StoppedMemberDetector;
  clock: Clock;
  logger: EventLogger;
  /** Milliseconds between two checks of the member list. @default 1000 */
  intervalMilliseconds?: number;
  /**
   * Milliseconds for which connections to a member must be refused before it is
   * removed. @default 60000
   */
  removeAfterRefusedMilliseconds?: number;
  /**
   * Milliseconds by which a host waits longer to remove a member for each host
   * ahead of it in the rendezvous order. @default 3000
   */
  delayPerRankMilliseconds?: number;
}

const DEFAULT_INTERVAL_MILLISECONDS = 1000;
const DEFAULT_REMOVE_AFTER_REFUSED_MILLISECONDS = 60_000;
const DEFAULT_DELAY_PER_RANK_MILLISECONDS = 3000;

/** Maximum wait for the latest change of the member list to be in effect. */
const EFFECT_TIME_LIMIT_MILLISECONDS = 5000;

/**
 * Reconciles the member list with the running hosts: adds this host, and
 * removes members whose process has stopped. Changes of the list are made one
 * at a time, each only after the previous one is in effect.
 */
export class MembershipReconciler {
  private readonly stopping = new AbortController();
  /** Monotonic time since which a member can be removed, by host id. */
  private readonly removableSince = new Map<string, number>();
  private changeCount = 0;

  constructor(private readonly options: MembershipReconcilerOptions) {}

  /** Starts to check the member list periodically. */
  start(): void {
    void this.run();
  }

  /**
   * Stops checking; this host stays in the list until another host removes it.
   */
  stop(): void {
    this.stopping.abort();
  }

  private async run(): Promise<void> {
    const {clock, logger} = this.options;
    const {signal} = this.stopping;
    const interval =
      this.options.intervalMilliseconds ?? DEFAULT_INTERVAL_MILLISECONDS;
    while (!signal.aborted) {
      try {
        await this.reconcile();
      } catch (error) {
        const reason = String(error);
        logger.event('unexpectedFailure', {step: 'member_list', reason});
      }
      await sleep(clock, interval, signal);
    }
  }

  private async reconcile(): Promise<void> {
    const {self, changeLog, view} = this.options;
    // Without a confirmed view, such as right after the start, the copy of the
    // list may be outdated.
    if (!view.isConfirmed()) return;
    if (!this.isRecorded()) {
      await this.submit(afterMemberVersion => {
        return {kind: 'add_member', member: self, afterMemberVersion};
      });
      if (this.isRecorded()) {
        const {version} = changeLog.authority;
        this.options.logger.event('memberAdded', {host: self.hostId, version});
      }
      return;
    }
    const hostId = this.memberToRemove();
    if (hostId === undefined) return;
    await this.submit(afterMemberVersion => {
      return {kind: 'remove_member', hostId, afterMemberVersion};
    });
    if (changeLog.authority.members.has(hostId)) return;
    const {version} = changeLog.authority;
    this.options.logger.event('memberRemoved', {host: hostId, version});
  }

  private isRecorded(): boolean {
    const {self, changeLog} = this.options;
    const recorded = changeLog.authority.members.get(self.hostId);
    return (
      recorded !== undefined &&
      recorded.peerAddress === self.peerAddress &&
      recorded.callerAddress === self.callerAddress &&
      recorded.dataCentre === self.dataCentre
    );
  }

  /**
   * The first member to remove, or undefined if there is none or a host ahead
   * in the rendezvous order should still remove it.
   */
  private memberToRemove(): string | undefined {
    const {self, changeLog, heartbeats, clock} = this.options;
    const now = clock.monotonicMilliseconds();
    const members = [...changeLog.authority.members.keys()];
    const live = members.filter(hostId => heartbeats.isLive(hostId));
    const order = rendezvousOrder('member-list', live);
    const rank = Math.max(0, order.indexOf(self.hostId));
    const wait =
      rank *
      (this.options.delayPerRankMilliseconds ??
        DEFAULT_DELAY_PER_RANK_MILLISECONDS);
    let due: string | undefined;
    for (const hostId of members) {
      if (hostId === self.hostId || !this.isRemovable(hostId)) {
        this.removableSince.delete(hostId);
        continue;
      }
      const since = this.removableSince.get(hostId) ?? now;
      this.removableSince.set(hostId, since);
      if (now - since >= wait) due ??= hostId;
    }
    return due;
  }

  private isRemovable(hostId: string): boolean {
    const {stoppedMembers} = this.options;
    return (
      stoppedMembers.isReportedGone(hostId) ||
      stoppedMembers.refusedForMilliseconds(hostId) >=
        (this.options.removeAfterRefusedMilliseconds ??
          DEFAULT_REMOVE_AFTER_REFUSED_MILLISECONDS)
    );
  }

  /** Submits a change of the list once the previous one is in effect. */
  private async submit(
    build: (afterMemberVersion: number) => Change,
  ): Promise<void> {
    const {changeLog, effect, self, incarnation} = this.options;
    const {memberVersion} = changeLog.authority;
    const inEffect = await effect.waitUntilInEffect(
      memberVersion,
      EFFECT_TIME_LIMIT_MILLISECONDS,
    );
    if (!inEffect || this.stopping.signal.aborted) return;
    // If the outcome is unknown, the change is submitted again later with a new
    // id. Both name the member change they follow, so only one can be accepted.
    await changeLog.submit(
      `member-${self.hostId}-${incarnation}-${++this.changeCount}`,
      self.hostId,
      build(memberVersion),
    );
  }
}
