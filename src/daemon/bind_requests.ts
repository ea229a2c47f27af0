import type {Container} from 'inversify';
import {ChangeLog} from '../contracts/mod.ts';
import {EndpointClients} from '../endpoints/mod.ts';
import {LeaseManager} from '../leases/mod.ts';
import {TeamLimiter} from '../limits/mod.ts';
import {Membership} from '../membership/mod.ts';
import {PeerNetwork} from '../peers/mod.ts';
import type {TransactionWriter} from '../stores/mod.ts';
import {type TableService} from '../stores/mod.ts';
import {RequestPath} from '../requests/mod.ts';
import {ReplicaRouter} from '../routing/mod.ts';
import {PLATFORM} from './bind_platform.ts';
import type {HostContext} from './host_context.ts';

/** Binds the team limiter and the request path. */
export function bindRequests(container: Container, context: HostContext): void {
  const {clock, logger, metrics, self, settings} = context;
  container.bind(TeamLimiter).toResolvedValue(
    (
      changeLog: ChangeLog,
      channel: PeerNetwork,
      leases: LeaseManager,
      membership: Membership,
    ) =>
      new TeamLimiter({
        clock,
        logger,
        metrics,
        channel,
        leases,
        view: membership.view,
        authority: () => changeLog.authority,
        viewTimeoutMilliseconds: settings.viewTimeoutMilliseconds,
        isMemberListInEffect: () =>
          membership.effect.inEffectVersion() >=
          changeLog.authority.memberVersion,
      }),
    [ChangeLog, PeerNetwork, LeaseManager, Membership],
  );
  container.bind(RequestPath).toResolvedValue(
    (
      changeLog: ChangeLog,
      channel: PeerNetwork,
      membership: Membership,
      tokens: TeamLimiter,
      router: ReplicaRouter,
      clients: EndpointClients,
      table: TableService,
      writer: TransactionWriter,
    ) =>
      new RequestPath({
        hostId: self.hostId,
        incarnation: self.incarnation,
        clock,
        logger,
        metrics,
        authority: () => changeLog.authority,
        view: membership.view,
        tokens,
        replicas: router,
        observer: router,
        clients,
        table,
        writer,
        changes: changeLog,
        peers: channel,
        maximumConcurrentRuns: settings.callers.maximumConcurrentRuns,
        isUsable: endpoint =>
          router.endpointUnusableReason(endpoint.name) === undefined,
        hasHostProcessEnded: (hostId, incarnation) =>
          hasProcessEnded(membership, hostId, incarnation),
      }),
    [
      ChangeLog,
      PeerNetwork,
      Membership,
      TeamLimiter,
      ReplicaRouter,
      EndpointClients,
      PLATFORM.requestTable,
      PLATFORM.requestWriter,
    ],
  );
}

/** Whether the process with this incarnation has certainly ended. */
function hasProcessEnded(
  membership: Membership,
  hostId: string,
  incarnation: string,
): boolean {
  const reply = membership.heartbeats.latestReply(hostId);
  if (reply !== undefined && reply.peer.incarnation !== incarnation) {
    return true;
  }
  return membership.stoppedMembers.lastSeenStopped(hostId) !== undefined;
}
