import type {ChangeLog, Member} from '../contracts/mod.ts';
import {type HostAddress, orderAddresses} from '../http/mod.ts';
import {authenticate} from '../keys/mod.ts';
import type {LeaseAuthority} from '../leases/mod.ts';
import {type Membership, rendezvousOrder} from '../membership/mod.ts';
import type {HostContext} from './host_context.ts';

/** Options of {@link AddressDirectory}. */
export interface AddressDirectoryOptions {
  context: HostContext;
  changeLog: ChangeLog;
  membership: Membership;
  leases: LeaseAuthority;
}

/** Looks up the hosts to which callers may send requests. */
export class AddressDirectory {
  private lastListedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: AddressDirectoryOptions) {}

  /**
   * Returns the hosts that accept new callers, in the order to try them.
   *
   * @param authorization Authorization header of the caller. The host that
   *   holds the lease of the caller's team comes first.
   * @param dataCentre Data centre of the caller. Default: that of this host.
   */
  lookUp(
    authorization: string | undefined,
    dataCentre: string | undefined,
  ): readonly HostAddress[] {
    const {changeLog, context, leases} = this.options;
    const {authority} = changeLog;
    const {clock} = context;
    const identity = authenticate(authority, authorization, clock.now());
    const team = identity.ok ? identity.value.contract.team : undefined;
    const members = this.availableMembers();
    if (members.some(member => member.hostId === context.self.hostId)) {
      this.lastListedAt = clock.monotonicMilliseconds();
    }
    const hostIds = members.map(member => member.hostId);
    return orderAddresses({
      members,
      dataCentre: dataCentre ?? context.self.dataCentre,
      rendezvousOrder: rendezvousOrder(team ?? '', hostIds),
      ownerHostId:
        team === undefined ? undefined : leases.holderOf(`team:${team}`),
    });
  }

  /**
   * Returns the monotonic time until which callers may still use a look-up
   * response that lists this host. The other hosts list it until they have
   * learned that it is draining, hence the added view timeout.
   */
  addressesValidUntil(): number {
    const {clock, settings} = this.options.context;
    const timeToLive = settings.callers.addressTimeToLiveMilliseconds;
    const drainKnownAt =
      clock.monotonicMilliseconds() + settings.viewTimeoutMilliseconds;
    return Math.max(this.lastListedAt, drainKnownAt) + timeToLive;
  }

  private availableMembers(): Member[] {
    const {changeLog, context, membership} = this.options;
    const {hostId} = context.self;
    const now = context.clock.monotonicMilliseconds();
    const oldestReplyAt = now - context.settings.viewTimeoutMilliseconds;
    return [...changeLog.authority.members.values()].filter(member => {
      if (membership.stoppedMembers.isReportedLeaving(member.hostId))
        return false;
      if (member.hostId === hostId) return !context.isDraining;
      const reply = membership.heartbeats.latestReply(member.hostId);
      if (reply === undefined || reply.leaving) return false;
      // A newly started host rejects requests until its view has been
      // confirmed for the first time.
      return reply.remembers && reply.askedAt >= oldestReplyAt;
    });
  }
}
