import type {Container} from 'inversify';
import {EndpointRegistry, HostRegistry} from '../fleet/mod.ts';
import {Metrics} from '../observability/mod.ts';
import {type PeerIdentity, PeerNetwork} from '../peers/mod.ts';
import {StoreClock, StoreEra} from '../stores/mod.ts';
import {OriginStore, StreamOrigins} from '../streams/mod.ts';
import {ConfigurationSource} from './configuration_source.ts';
import type {EntryContext} from './entry_container.ts';

/** Shortest time for which streams of a former process count as alive. */
const SHORTEST_LIFE_MILLISECONDS = 60_000;

/** Binds what keeps streams at their software version. */
export function bindStreams(
  container: Container,
  {clock, logger, platform}: EntryContext,
  self: PeerIdentity,
): void {
  const common = () => ({
    clock,
    storeClock: container.get(StoreClock),
    storeEra: container.get(StoreEra),
  });
  container.bind(StreamOrigins).toDynamicValue(() => {
    const endpoints = container.get(EndpointRegistry);
    const hosts = container.get(HostRegistry);
    const peers = container.get(PeerNetwork);
    const origins = new StreamOrigins({
      ...common(),
      store: new OriginStore({...common(), store: platform.store}),
      logger,
      metrics: container.get(Metrics),
      hostId: self.hostId,
      incarnation: self.incarnation,
      versionsOf: service => endpoints.versionsOf(service),
      longestStreamMilliseconds: () => longestStream(container),
      listedHosts: () =>
        hosts.isKnown
          ? new Set(hosts.all().map(({hostId}) => hostId))
          : undefined,
      connectedPeers: () => peers.connectedPeers().map(({hostId}) => hostId),
      send: (hostId, message) => peers.send(hostId, message),
      random: Math.random,
    });
    endpoints.onChange(() => origins.endpointsChanged());
    hosts.onChange(() => origins.hostsChanged());
    return origins;
  });
}

function longestStream(container: Container): number {
  const routes = container.get(ConfigurationSource).index?.configuration.routes;
  const timeouts = (routes ?? [])
    .filter(({kind}) => kind === 'streaming')
    .map(({timeoutMilliseconds}) => timeoutMilliseconds);
  return Math.max(SHORTEST_LIFE_MILLISECONDS, ...timeouts);
}
