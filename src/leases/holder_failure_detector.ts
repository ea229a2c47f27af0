import type {ChangeLog, LeaseHolder} from '../contracts/mod.ts';
import type {
  HeartbeatExchange,
  StoppedMemberDetector,
} from '../membership/mod.ts';
import type {PeerChannel} from '../peers/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Options of {@link HolderFailureDetector}. */
export interface HolderFailureDetectorOptions {
  channel: PeerChannel;
  changeLog: ChangeLog;
  heartbeats: HeartbeatExchange;
  stoppedMembers: StoppedMemberDetector;
  clock: Clock;
}

/**
 * Decides whether a lease may be taken over from its holder. It prevents
 * takeovers from live holders. The safety of a takeover does not depend on it,
 * so its decisions may be wrong.
 */
export class HolderFailureDetector {
  constructor(private readonly options: HolderFailureDetectorOptions) {}

  /**
   * Whether the holder's process has terminated or sends no heartbeats to most
   * members.
   */
  mayTakeOverFrom(holder: LeaseHolder): boolean {
    const {channel, stoppedMembers} = this.options;
    const {self} = channel;
    if (holder.hostId === self.hostId) {
      return holder.incarnation !== self.incarnation;
    }
    const connected = channel
      .connectedPeers()
      .find(peer => peer.hostId === holder.hostId);
    if (
      connected !== undefined &&
      connected.incarnation !== holder.incarnation
    ) {
      return true;
    }
    if (stoppedMembers.lastSeenStopped(holder.hostId) !== undefined)
      return true;
    return this.isUnreachableForMajority(holder.hostId);
  }

  private isUnreachableForMajority(hostId: string): boolean {
    const {changeLog, heartbeats, clock, channel} = this.options;
    const {members} = changeLog.authority;
    const isResponsive = heartbeats.isResponsive(hostId);
    if (!members.has(hostId)) return !isResponsive;
    const oldestAskedAt =
      clock.monotonicMilliseconds() - heartbeats.viewTimeoutMilliseconds;
    let unreachableCount = 0;
    for (const member of members.keys()) {
      if (member === channel.self.hostId) {
        if (!isResponsive) unreachableCount++;
        continue;
      }
      const reply = heartbeats.latestReply(member);
      if (reply === undefined || reply.askedAt < oldestAskedAt) continue;
      if (reply.silentPeers.includes(hostId)) unreachableCount++;
    }
    return unreachableCount > members.size / 2;
  }
}
