import type {Container} from 'inversify';
import {
  chooseGranter,
  FleetLoad,
  FleetShares,
  FleetTopology,
} from '../fleet/mod.ts';
import {Metrics} from '../observability/mod.ts';
import {type PeerIdentity, PeerNetwork} from '../peers/mod.ts';
import {EndpointLimits, PermitBroker} from '../permits/mod.ts';
import type {EntryContext} from './entry_container.ts';
import {FleetStateExchange} from './fleet_state_exchange.ts';

/** Gauge of the processes that are cold, or presumed to be. */
const COLD_ENDPOINTS_METRIC = 'limpetdale_cold_endpoints';

/** Counter of decisions on requests to cold endpoints, made by this host. */
const COLD_PERMITS_METRIC = 'limpetdale_cold_permits_total';

/** Binds the limits of endpoints and the permits for requests to them. */
export function bindPermits(
  container: Container,
  {clock, logger, settings}: EntryContext,
  self: PeerIdentity,
): void {
  container.bind(EndpointLimits).toDynamicValue(
    () =>
      new EndpointLimits({
        clock,
        logger,
        announce: (incarnation, ratePerSecond) =>
          container.get(FleetStateExchange).announce({
            kind: 'endpoint_limit',
            incarnation,
            ratePerSecond: ratePerSecond ?? null,
          }),
        announceCold: ({incarnation, ...cold}) =>
          container.get(FleetStateExchange).announce({
            kind: 'endpoint_limit',
            incarnation,
            ratePerSecond: null,
            cold,
          }),
        onColdCount: count =>
          container.get(Metrics).setGauge(COLD_ENDPOINTS_METRIC, count),
      }),
  );
  container.bind(PermitBroker).toDynamicValue(() => {
    const peers = container.get(PeerNetwork);
    const topology = container.get(FleetTopology);
    const shares = container.get(FleetShares);
    const connected = () =>
      new Set(peers.connectedPeers().map(peer => peer.hostId));
    return new PermitBroker({
      clock,
      limits: container.get(EndpointLimits),
      selfId: self.hostId,
      granter: incarnation =>
        chooseGranter({
          incarnation,
          selfId: self.hostId,
          isActive: topology.isActive,
          upstream: topology.upstream,
          activeHosts: topology.activeHosts.map(({hostId}) => hostId),
          connected: connected(),
        }),
      isStandbyHost: hostId =>
        container.get(FleetLoad).standbyHosts().includes(hostId),
      grantedShare: () => shares.ofKnownSpending(),
      evenShare: () => shares.ofBudget(),
      // A host that is cut off takes itself for the only one.
      coldShare: () =>
        topology.activeHosts.length === 0
          ? 0
          : Math.min(
              shares.ofBudget(),
              1 / Math.max(1, topology.preferredCount),
            ),
      coldEngines: settings.coldEngines,
      onColdPermit: decision =>
        container.get(Metrics).increment(COLD_PERMITS_METRIC, {decision}),
      send: (hostId, message) => peers.send(hostId, message),
      random: Math.random,
    });
  });
}
