import type {Container} from 'inversify';
import {
  chooseGranter,
  FleetLoad,
  FleetShares,
  FleetTopology,
} from '../fleet/mod.ts';
import {type PeerIdentity, PeerNetwork} from '../peers/mod.ts';
import {EndpointLimits, PermitBroker} from '../permits/mod.ts';
import type {EntryContext} from './entry_container.ts';
import {FleetStateExchange} from './fleet_state_exchange.ts';

/** Binds the limits of endpoints and the permits for requests to them. */
export function bindPermits(
  container: Container,
  {clock, logger}: EntryContext,
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
      send: (hostId, message) => peers.send(hostId, message),
      random: Math.random,
    });
  });
}
