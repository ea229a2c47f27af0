import type {Container} from 'inversify';
import {ChangeLog} from '../contracts/mod.ts';
import {EndpointClients} from '../endpoints/mod.ts';
import {LeaseManager} from '../leases/mod.ts';
import {PeerNetwork} from '../peers/mod.ts';
import {PoolControllers} from '../placement/mod.ts';
import type {TransactionWriter} from '../stores/mod.ts';
import {type HostList, type TableService} from '../stores/mod.ts';
import {ReplicaRouter} from '../routing/mod.ts';
import {PLATFORM} from './bind_platform.ts';
import type {HostContext} from './host_context.ts';

/** Binds the routing to replicas and the pool controllers. */
export function bindPlacement(
  container: Container,
  context: HostContext,
): void {
  const {clock, logger, settings} = context;
  container
    .bind(EndpointClients)
    .toDynamicValue(() => new EndpointClients(settings.endpoints));
  container.bind(ReplicaRouter).toResolvedValue(
    (
      changeLog: ChangeLog,
      channel: PeerNetwork,
      leases: LeaseManager,
      engines: EndpointClients,
      hostList: HostList,
    ) =>
      new ReplicaRouter({
        authority: () => changeLog.authority,
        channel,
        leases,
        engines,
        hostList,
        clock,
        logger,
        // Resolved lazily: the router and the pool controllers depend on each
        // other.
        localController: () => container.get(PoolControllers),
      }),
    [ChangeLog, PeerNetwork, LeaseManager, EndpointClients, PLATFORM.hostList],
  );
  container.bind(PoolControllers).toResolvedValue(
    (
      changeLog: ChangeLog,
      channel: PeerNetwork,
      leases: LeaseManager,
      engines: EndpointClients,
      table: TableService,
      writer: TransactionWriter,
      router: ReplicaRouter,
    ) =>
      new PoolControllers({
        authority: () => changeLog.authority,
        leases,
        channel,
        engines,
        table,
        writer,
        clock,
        logger,
        applyLocally: update => router.applyUpdate(update),
        lastReportedTargets: endpoint => router.targetsOn(endpoint),
        unusableReason: endpoint => router.endpointUnusableReason(endpoint),
      }),
    [
      ChangeLog,
      PeerNetwork,
      LeaseManager,
      EndpointClients,
      PLATFORM.controlTable,
      PLATFORM.controlWriter,
      ReplicaRouter,
    ],
  );
}
