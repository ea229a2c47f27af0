import {Container} from 'inversify';
import {ColdEngines, EndpointRouter, ReplicaMap} from '../engines/mod.ts';
import {
  EndpointRegistry,
  EvacuatedDataCentres,
  FleetLoad,
  FleetShares,
  FleetTopology,
  HostRegistry,
} from '../fleet/mod.ts';
import {FleetRateLimiter} from '../limits/mod.ts';
import {
  EventLoopMonitor,
  type EventLogger,
  Metrics,
} from '../observability/mod.ts';
import {type PeerIdentity, PeerNetwork} from '../peers/mod.ts';
import {CrashTracker, PromptPartQuarantine} from '../relay/mod.ts';
import {EndpointLimits, PermitBroker} from '../permits/mod.ts';
import {StoreClock, StoreEra} from '../stores/mod.ts';
import {StreamOrigins} from '../streams/mod.ts';
import type {Clock} from '../time/mod.ts';
import {bindPermits} from './_bind_permits.ts';
import {bindRequests} from './_bind_requests.ts';
import {bindStreams} from './_bind_streams.ts';
import {ConfigurationSource} from './configuration_source.ts';
import {createIdentity, hostRow} from './_host_identity.ts';
import {EntryListeners} from './entry_listeners.ts';
import type {EntrySettings} from './entry_settings.ts';
import {EntryState} from './entry_state.ts';
import {FleetStateExchange} from './fleet_state_exchange.ts';
import {HostRegistration} from './host_registration.ts';
import type {PlatformAdapter} from './platform_adapter.ts';
import {PeerTraffic} from './peer_traffic.ts';
import {PoolSupervisor} from './pool_supervisor.ts';
import {sendCurrentState} from './_send_current_state.ts';
import {StoreFollowers} from './store_followers.ts';

/** Dependencies that all components of an entry host share. */
export interface EntryContext {
  readonly settings: EntrySettings;
  readonly platform: PlatformAdapter;
  readonly clock: Clock;
  readonly logger: EventLogger;
}

/** Deployment name; hosts accept only peers with the same one. */
const DEPLOYMENT = 'limpetdale';

/** Fraction of an endpoint's connection limit that all hosts use together. */
const CONNECTION_FRACTION = 0.8;

/** Creates the dependency injection container of an entry host. */
export function createEntryContainer(context: EntryContext): Container {
  const container = new Container({defaultScope: 'Singleton'});
  const metrics = new Metrics();
  const state = new EntryState();
  const self = createIdentity(context.settings);
  container.bind(Metrics).toConstantValue(metrics);
  container.bind(EntryState).toConstantValue(state);
  container
    .bind(EventLoopMonitor)
    .toConstantValue(new EventLoopMonitor({...context, metrics}));
  bindFleet(container, context, self);
  bindPermits(container, context, self);
  bindStreams(container, context, self);
  bindRequests(container, context, self);
  bindStore(container, context, self);
  return container;
}

function bindFleet(
  container: Container,
  context: EntryContext,
  self: PeerIdentity,
): void {
  const {clock, logger} = context;
  container.bind(PeerNetwork).toDynamicValue(
    () =>
      new PeerNetwork({
        self,
        deployment: DEPLOYMENT,
        clock,
        logger,
        onSent: (kind, bytes) => container.get(PeerTraffic).add(kind, bytes),
        onSkipped: kind => container.get(PeerTraffic).addSkipped(kind),
      }),
  );
  const connected = () =>
    new Set(
      container
        .get(PeerNetwork)
        .connectedPeers()
        .map(peer => peer.hostId),
    );
  container
    .bind(PeerTraffic)
    .toDynamicValue(() => new PeerTraffic(container.get(Metrics)));
  container.bind(HostRegistry).toDynamicValue(
    () =>
      new HostRegistry({
        hostId: self.hostId,
        self: () =>
          hostRow(
            self,
            context.settings,
            container.get(EntryState),
            container.get(StoreEra),
          ),
      }),
  );
  container.bind(FleetTopology).toDynamicValue(
    () =>
      new FleetTopology({
        clock,
        hosts: container.get(HostRegistry),
        connected,
        endpointSlots: () => container.get(EndpointRegistry).slots,
      }),
  );
  container.bind(FleetShares).toDynamicValue(
    () =>
      new FleetShares({
        topology: container.get(FleetTopology),
        hosts: container.get(HostRegistry),
        connected,
      }),
  );
  container.bind(EndpointRegistry).toDynamicValue(
    () =>
      new EndpointRegistry({
        clock,
        logger,
        storeRegainedAt: () => container.get(StoreFollowers).storeRegainedAt,
        maximumConnections: service => maximumConnections(container, service),
      }),
  );
  container.bind(EvacuatedDataCentres).toDynamicValue(
    () =>
      new EvacuatedDataCentres({
        logger,
        metrics: container.get(Metrics),
        endpoints: container.get(EndpointRegistry),
      }),
  );
  container.bind(FleetLoad).toDynamicValue(
    () =>
      new FleetLoad({
        clock,
        localLoad: () => container.get(FleetStateExchange).ownLoad(),
      }),
  );
  container.bind(FleetStateExchange).toDynamicValue(
    () =>
      new FleetStateExchange({
        peers: container.get(PeerNetwork),
        clock,
        logger,
        topology: container.get(FleetTopology),
        registry: container.get(EndpointRegistry),
        load: container.get(FleetLoad),
        rateLimiter: container.get(FleetRateLimiter),
        replicas: container.get(ReplicaMap),
        router: container.get(EndpointRouter),
        crashTracker: container.get(CrashTracker),
        promptParts: container.get(PromptPartQuarantine),
        limits: container.get(EndpointLimits),
        permits: container.get(PermitBroker),
        streamOrigins: container.get(StreamOrigins),
        onDemandChanged: () => container.get(PoolSupervisor).notify(),
        onManagerAnnounced: (service, epoch, renewal) =>
          container.get(PoolSupervisor).recordManager(service, epoch, renewal),
        onManagerResigned: (service, epoch, sinceOrder) =>
          container
            .get(PoolSupervisor)
            .recordResignation(service, epoch, sinceOrder),
        onTableUpdate: (update, from) =>
          container.get(StoreFollowers).receive(update, from),
        missingTables: () => container.get(StoreFollowers).missingTables(),
        tableContent: table => container.get(StoreFollowers).content(table),
        onPeerConnected: hostId => sendCurrentState(container, hostId),
      }),
  );
}

function maximumConnections(container: Container, service: string): number {
  const terms = container
    .get(ConfigurationSource)
    .index?.configuration.services.get(service);
  const limit = (terms?.connectionLimit ?? 64) * CONNECTION_FRACTION;
  const share = container.get(FleetShares).ofBudget();
  return Math.max(2, Math.floor(limit * share));
}

function bindStore(
  container: Container,
  context: EntryContext,
  self: PeerIdentity,
): void {
  const {clock, logger, platform, settings} = context;
  container.bind(ConfigurationSource).toDynamicValue(
    () =>
      new ConfigurationSource({
        platform,
        logger,
        onApplied: configuration => {
          container.get(EntryListeners).applyLimits(configuration.limits);
          container.get(FleetRateLimiter).configure(configuration.teams ?? []);
          container.get(ColdEngines).update();
          container.get(PoolSupervisor).startPools();
          container.get(EndpointRouter).recheckWaiting();
        },
      }),
  );
  container.bind(StoreEra).toConstantValue(new StoreEra());
  container.bind(StoreClock).toDynamicValue(() => new StoreClock({clock}));
  container.bind(StoreFollowers).toDynamicValue(
    () =>
      new StoreFollowers({
        platform,
        clock,
        storeClock: container.get(StoreClock),
        storeEra: container.get(StoreEra),
        logger,
        configuration: container.get(ConfigurationSource),
        endpoints: container.get(EndpointRegistry),
        hosts: container.get(HostRegistry),
        evacuations: container.get(EvacuatedDataCentres),
        drainMilliseconds: settings.drainMilliseconds,
        configurationMilliseconds: settings.configurationMilliseconds,
        isFirstStart: settings.isFirstStart,
        registrationMilliseconds: settings.registrationMilliseconds,
        managesPool: () => container.get(PoolSupervisor).managesPool,
        isConnected: hostId =>
          container
            .get(PeerNetwork)
            .connectedPeers()
            .some(peer => peer.hostId === hostId),
        rank: () => container.get(FleetTopology).rank,
        random: Math.random,
        publish: update =>
          container.get(FleetStateExchange).publishTable(update),
        onEndpointsChanged: () => container.get(PoolSupervisor).notify(),
      }),
  );
  container.bind(HostRegistration).toDynamicValue(
    () =>
      new HostRegistration({
        store: platform.store,
        clock,
        storeClock: container.get(StoreClock),
        storeEra: container.get(StoreEra),
        logger,
        row: () => container.get(HostRegistry).self,
      }),
  );
  container.bind(PoolSupervisor).toDynamicValue(
    () =>
      new PoolSupervisor({
        store: platform.store,
        storeEra: container.get(StoreEra),
        engines: platform.engines,
        registry: container.get(EndpointRegistry),
        load: container.get(FleetLoad),
        limits: container.get(EndpointLimits),
        configuration: container.get(ConfigurationSource),
        clock,
        logger,
        metrics: container.get(Metrics),
        hostId: self.hostId,
        incarnation: self.incarnation,
        orderTurnMilliseconds: settings.orderTurnMilliseconds,
        ordersBySettledEngine: settings.handover === 'engine',
        announcedOrders: (endpoint, startedAt) =>
          container.get(ReplicaMap).announcedOrders(endpoint, startedAt),
        loadsReplicasTogether: settings.replicaLoads === 'parallel',
        rank: () => container.get(FleetTopology).rank,
        broadcastResignation: (service, epoch, sinceOrderMilliseconds) =>
          container.get(FleetStateExchange).announce({
            kind: 'lease_resigned',
            service,
            epoch,
            sinceOrderMilliseconds,
          }),
        announce: announcement => {
          container.get(ReplicaMap).receive(announcement);
          container
            .get(FleetStateExchange)
            .announce({kind: 'replica_state', ...announcement});
        },
      }),
  );
}
