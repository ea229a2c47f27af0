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
  /** This host as it is recorded in the member list. */
  self: Member;
  /** Identifies this run of the process; part of the ids of its changes. */
  incarnation: string;
  changeLog: ChangeLog;
  view: ViewStatus;
  effect: EffectTracker;
  heartbeats: HeartbeatExchange;
  stoppedMembers: StoppedMemberDetector;
  clock: Clock;
  logger: EventLogger;
  /** Milliseconds between two looks at the member list. @default 1000 */
  intervalMilliseconds?: number;
  /** Milliseconds of refused connections after which a member is removed. @default 60000 */
  removeAfterRefusedMilliseconds?: number;
  /** Milliseconds by which each further host waits longer to remove one. @default 3000 */
  delayPerRankMilliseconds?: number;
}

const DEFAULT_INTERVAL_MILLISECONDS = 1000;
const DEFAULT_REMOVE_AFTER_REFUSED_MILLISECONDS = 60_000;
const DEFAULT_DELAY_PER_RANK_MILLISECONDS = 3000;

/** Longest wait for the proof that the latest change of the list is in effect. */
const EFFECT_TIME_LIMIT_MILLISECONDS = 5000;

/**
 * Keeps the member list: adds this host, and removes members whose process is
 * gone. One change of the list at a time, each after the one before it is in
 * effect.
 */
export class MembershipReconciler {
  private readonly stopping = new AbortController();
  private readonly removableSince = new Map<string, number>();
  private changeCount = 0;

  constructor(private readonly options: MembershipReconcilerOptions) {}

  /** Starts to look after the member list. */
  start(): void {
    void this.run();
  }

  /** Ends the task; this host stays in the list until others remove it. */
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
    // A process that has just started has not read the list yet.
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

  /** The first member that is gone, once it is this host's turn to act. */
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

  /** Submits a change once the latest change of the list is in effect. */
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
    // A change whose outcome is unknown is submitted under a new id later: it
    // names the member change that it follows, so only one of the two fits.
    await changeLog.submit(
      `member-${self.hostId}-${incarnation}-${++this.changeCount}`,
      self.hostId,
      build(memberVersion),
    );
  }
}
