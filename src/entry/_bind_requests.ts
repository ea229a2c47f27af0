import type {Container} from 'inversify';
import {ByteBudget} from '../bytes/mod.ts';
import {
  ColdEngines,
  EndpointBalancer,
  EndpointRouter,
  ReplicaMap,
} from '../engines/mod.ts';
import {isConnectionRefused} from '../exchange/mod.ts';
import {
  EndpointRegistry,
  FleetLoad,
  FleetShares,
  FleetTopology,
  UnobservedRequests,
} from '../fleet/mod.ts';
import {FleetRateLimiter} from '../limits/mod.ts';
import {EventLoopMonitor, Metrics} from '../observability/mod.ts';
import type {PeerIdentity} from '../peers/mod.ts';
import {EndpointLimits, PermitBroker} from '../permits/mod.ts';
import {
  CrashEvidence,
  CrashTracker,
  DispatchWindow,
  FleetRetryBudget,
  PromptPartQuarantine,
  RequestRelay,
  RunDurations,
} from '../relay/mod.ts';
import {StreamOrigins} from '../streams/mod.ts';
import {ConfigurationSource} from './configuration_source.ts';
import type {EntryContext} from './entry_container.ts';
import {EntryListeners} from './entry_listeners.ts';
import {EntryState} from './entry_state.ts';
import {FleetStateExchange} from './fleet_state_exchange.ts';
import {PoolSupervisor} from './pool_supervisor.ts';

/** Time-out of the connection that shows whether an endpoint has ended. */
const CRASH_CHECK_MILLISECONDS = 300;

/**
 * Part of the memory for bodies that are held. Besides them the process needs its own
 * state, and the buffers of sockets until the next garbage collection.
 */
const HELD_MEMORY_SHARE = 0.3;

const BYTES_PER_MEGABYTE = 1024 * 1024;

/** Binds the path of callers' requests. */
export function bindRequests(
  container: Container,
  context: EntryContext,
  self: PeerIdentity,
): void {
  const {clock, logger, platform, settings} = context;
  const runDurations = new RunDurations(clock);
  const firstEventDurations = new RunDurations(clock);
  const shares = () => container.get(FleetShares);
  container.bind(DispatchWindow).toConstantValue(
    new DispatchWindow({
      runs: runDurations,
      firstEvents: firstEventDurations,
    }),
  );
  container.bind(ReplicaMap).toDynamicValue(
    () =>
      new ReplicaMap({
        registry: container.get(EndpointRegistry),
        incarnation: self.incarnation,
        clock,
      }),
  );
  const service = (name: string) =>
    container.get(ConfigurationSource).index?.configuration.services.get(name);
  container.bind(ColdEngines).toDynamicValue(
    () =>
      new ColdEngines({
        registry: container.get(EndpointRegistry),
        limits: container.get(EndpointLimits),
        service,
      }),
  );
  container.bind(EndpointRouter).toDynamicValue(
    () =>
      new EndpointRouter({
        registry: container.get(EndpointRegistry),
        replicas: container.get(ReplicaMap),
        limits: container.get(EndpointLimits),
        permits: container.get(PermitBroker),
        coldEngines: container.get(ColdEngines),
        dispatchWindow: container.get(DispatchWindow),
        announceLeaving: incarnation =>
          container
            .get(FleetStateExchange)
            .announce({kind: 'endpoint_leaving', incarnation}),
        clock,
        dataCentre: settings.dataCentre,
        ...(settings.balancing === 'even'
          ? {balancer: createBalancer(container, context)}
          : {}),
        service,
        onDemandChanged: () => {
          container.get(FleetStateExchange).reportDemandSoon();
          container.get(PoolSupervisor).notify();
        },
        ...(settings.admission === 'ordered'
          ? {
              admission: {
                hostId: settings.hostId,
                logger,
                metrics: container.get(Metrics),
                evenShare: () =>
                  1 /
                  Math.max(1, container.get(FleetTopology).activeHosts.length),
                slotShare: () => shares().ofKnownSlots(),
              },
            }
          : {}),
      }),
  );
  container.bind(FleetRateLimiter).toDynamicValue(
    () =>
      new FleetRateLimiter({
        clock,
        rateShare: () => shares().ofKnownSpending(),
        startsFull: settings.isFirstStart,
        refundsUnserved: settings.unservedRequests === 'refunded',
      }),
  );
  container.bind(CrashTracker).toDynamicValue(
    () =>
      new CrashTracker({
        clock,
        broadcast: (fingerprint, incarnation) =>
          container.get(FleetStateExchange).announce({
            kind: 'request_broke_endpoint',
            fingerprint,
            incarnation,
          }),
      }),
  );
  container.bind(CrashEvidence).toDynamicValue(
    () =>
      new CrashEvidence({
        clock,
        isEvacuated: ({record}) =>
          container.get(EndpointRegistry).isEvacuated(record),
        isConnectionRefused: address =>
          isConnectionRefused(address, CRASH_CHECK_MILLISECONDS),
        isReplaced: ({record, incarnation}) => {
          const current = container.get(EndpointRegistry).find(record.id);
          return current !== undefined && current.incarnation !== incarnation;
        },
      }),
  );
  container.bind(PromptPartQuarantine).toDynamicValue(
    () =>
      new PromptPartQuarantine({
        hostId: settings.hostId,
        clock,
        logger,
        metrics: container.get(Metrics),
        hasCrashed: endpoint =>
          container.get(CrashEvidence).hasCrashed(endpoint),
        announce: (service, change) =>
          container
            .get(FleetStateExchange)
            .announce({kind: 'prompt_part', service, change}),
      }),
  );
  container.bind(RequestRelay).toDynamicValue(
    () =>
      new RequestRelay({
        clock,
        logger,
        metrics: container.get(Metrics),
        wireFormat: platform.wireFormat,
        byteBudget: new ByteBudget(
          settings.memoryMegabytes * HELD_MEMORY_SHARE * BYTES_PER_MEGABYTE,
        ),
        routes: () => container.get(ConfigurationSource).index,
        endpoints: container.get(EndpointRouter),
        rateLimiter: container.get(FleetRateLimiter),
        retryBudget: new FleetRetryBudget({
          clock,
          ratio: settings.retries.ratio,
          slack: settings.retries.slack,
          windowMilliseconds: settings.retries.windowSeconds * 1000,
          share: () => shares().ofBudget(),
        }),
        crashGuard: container.get(CrashTracker),
        promptParts: container.get(PromptPartQuarantine),
        isDraining: () => container.get(EntryState).isDraining,
        runDurations,
        firstEventDurations,
        streamOrigins: container.get(StreamOrigins),
        eventLoopDelay: () => container.get(EventLoopMonitor).delayMilliseconds,
        dispatchWindow: container.get(DispatchWindow),
        random: Math.random,
      }),
  );
  container.bind(EntryListeners).toDynamicValue(
    () =>
      new EntryListeners({
        settings,
        platform,
        clock,
        logger,
        relay: container.get(RequestRelay),
        topology: container.get(FleetTopology),
        metrics: container.get(Metrics),
        promptParts: container.get(PromptPartQuarantine),
        explanation: {
          hostId: settings.hostId,
          dataCentre: settings.dataCentre,
          balancing: settings.balancing ?? 'least_loaded',
          admission: settings.admission ?? 'immediate',
          clock,
          routes: () => container.get(ConfigurationSource).index,
          router: container.get(EndpointRouter),
          rateLimiter: container.get(FleetRateLimiter),
          promptParts: container.get(PromptPartQuarantine),
          dispatchWindow: container.get(DispatchWindow),
        },
        isReady: () =>
          !container.get(EntryState).isDraining &&
          container.get(ConfigurationSource).index !== undefined,
      }),
  );
}

function createBalancer(
  container: Container,
  {clock, logger, settings}: EntryContext,
): EndpointBalancer {
  const activeHosts = () => container.get(FleetTopology).activeHosts;
  return new EndpointBalancer({
    unobserved: new UnobservedRequests({
      clock,
      activeHosts: () => activeHosts().length,
      countedAt: () => container.get(FleetLoad).countedAt,
    }),
    localShare: () => {
      const hosts = activeHosts();
      const local = hosts.filter(
        ({dataCentre}) => dataCentre === settings.dataCentre,
      );
      return hosts.length === 0 ? 1 : local.length / hosts.length;
    },
    logger,
    metrics: container.get(Metrics),
    random: Math.random,
  });
}
