import type {Container} from 'inversify';
import {ChangeLog} from '../contracts/mod.ts';
import {LeaseManager} from '../leases/mod.ts';
import {Membership} from '../membership/mod.ts';
import {PeerNetwork} from '../peers/mod.ts';
import type {HostList} from '../stores/mod.ts';
import {PLATFORM} from './bind_platform.ts';
import type {HostContext} from './host_context.ts';

/** A view stays confirmed when three of four heartbeats in a row are lost. */
const HEARTBEATS_PER_VIEW_TIMEOUT = 4;
/**
 * A host without peers confirms its view by reading the table. The view stays
 * confirmed when one of three reads fails.
 */
const TABLE_READS_PER_VIEW_TIMEOUT = 3;

/** Binds the peer network, membership and leases. */
export function bindMembership(
  container: Container,
  context: HostContext,
): void {
  const {clock, logger, settings} = context;
  container.bind(PeerNetwork).toDynamicValue(
    () =>
      new PeerNetwork({
        self: context.self,
        deployment: settings.deployment,
        clock,
        logger,
      }),
  );
  container.bind(Membership).toResolvedValue(
    (channel: PeerNetwork, changeLog: ChangeLog, hostList: HostList) =>
      new Membership({
        channel,
        changeLog,
        hostList,
        clock,
        logger,
        isLeaving: () => context.isDraining,
        viewTimeoutMilliseconds: settings.viewTimeoutMilliseconds,
        heartbeatIntervalMilliseconds:
          settings.viewTimeoutMilliseconds / HEARTBEATS_PER_VIEW_TIMEOUT,
        tableIntervalMilliseconds:
          settings.viewTimeoutMilliseconds / TABLE_READS_PER_VIEW_TIMEOUT,
      }),
    [PeerNetwork, ChangeLog, PLATFORM.hostList],
  );
  container.bind(LeaseManager).toResolvedValue(
    (channel: PeerNetwork, changeLog: ChangeLog, membership: Membership) => {
      const {view, effect, heartbeats, stoppedMembers} = membership;
      return new LeaseManager({
        channel,
        changeLog,
        view,
        effect,
        heartbeats,
        stoppedMembers,
        clock,
        logger,
      });
    },
    [PeerNetwork, ChangeLog, Membership],
  );
}
