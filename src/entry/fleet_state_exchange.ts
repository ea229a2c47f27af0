import type {EndpointRouter, LeaseRenewal, ReplicaMap} from '../engines/mod.ts';
import type {EndpointRegistry, FleetLoad, LoadReport} from '../fleet/mod.ts';
import type {FleetRateLimiter} from '../limits/mod.ts';
import type {PeerIdentity, PeerMessage, PeerNetwork} from '../peers/mod.ts';
import type {CrashTracker} from '../relay/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import {unreachable} from '../errors/mod.ts';
import type {ConfigurationSource} from './configuration_source.ts';

/** Options of {@link FleetStateExchange}. */
export interface FleetStateExchangeOptions {
  peers: PeerNetwork;
  clock: Clock;
  registry: EndpointRegistry;
  load: FleetLoad;
  rateLimiter: FleetRateLimiter;
  replicas: ReplicaMap;
  router: EndpointRouter;
  crashTracker: CrashTracker;
  configuration: ConfigurationSource;
  /** Called when a peer reports waiting requests, which may be for a pool managed here. */
  onDemandChanged: () => void;
  /** Called when the manager of a pool announced replicas or renewed its lease. */
  onManagerAnnounced: (
    service: string,
    renewal: LeaseRenewal | undefined,
  ) => void;
  /** Called when the manager of a pool resigned its lease. */
  onManagerResigned: (
    service: string,
    epoch: number,
    sinceOrder: number,
  ) => void;
}

/** Interval between load reports. */
const REPORT_INTERVAL_MILLISECONDS = 200;

/** Interval between arrival reports, which are only used to compute rates. */
const ARRIVAL_REPORT_INTERVAL_MILLISECONDS = 1000;

/** Interval between unchanged load reports, which serve as heartbeats. */
const IDLE_REPORT_INTERVAL_MILLISECONDS = 500;

/**
 * Delay before a newer configuration is requested from a peer. It usually
 * arrives from the store within this time.
 */
const CONFIGURATION_REQUEST_DELAY_MILLISECONDS = 400;

/**
 * Broadcasts the load, demand and configuration version of this host, and
 * handles the messages of its peers.
 */
export class FleetStateExchange {
  private readonly abortController = new AbortController();
  private lastReport = '';
  private reportedAt = Number.NEGATIVE_INFINITY;
  private arrivalsReportedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: FleetStateExchangeOptions) {
    options.peers.onMessage((from, message) => this.receive(from, message));
    options.peers.onObservation(observation => {
      if (observation.kind === 'connected') this.offerConfiguration();
      if (observation.kind === 'disconnected') {
        options.load.removeHost(observation.peer.hostId);
      }
    });
  }

  /** Sends reports until {@link stop}. */
  async run(): Promise<void> {
    const {clock} = this.options;
    while (!this.abortController.signal.aborted) {
      this.report();
      this.reportArrivals();
      await sleep(
        clock,
        REPORT_INTERVAL_MILLISECONDS,
        this.abortController.signal,
      );
    }
  }

  /** Stops the reports. */
  stop(): void {
    this.abortController.abort();
  }

  /** Sends a load report if it has changed or the idle interval has passed. */
  report(): void {
    const {peers, clock, load, registry} = this.options;
    const peerInFlight = load.peerInFlight();
    for (const endpoint of registry.all()) {
      endpoint.peerInFlight = peerInFlight.get(endpoint.record.id) ?? 0;
    }
    const report = this.ownReport();
    const content = JSON.stringify({
      ...report,
      spent: report.spent.map(({team, tokens}) => [team, tokens]),
      waiting: report.waiting.map(({target, requests}) => [target, requests]),
    });
    const now = clock.monotonicMilliseconds();
    const isDue = now - this.reportedAt >= IDLE_REPORT_INTERVAL_MILLISECONDS;
    if (content === this.lastReport && !isDue) return;
    this.lastReport = content;
    this.reportedAt = now;
    peers.broadcast({kind: 'load_report', ...report});
  }

  private reportArrivals(): void {
    const {clock, peers, router} = this.options;
    const now = clock.monotonicMilliseconds();
    if (now - this.arrivalsReportedAt < ARRIVAL_REPORT_INTERVAL_MILLISECONDS)
      return;
    this.arrivalsReportedAt = now;
    const arrivals = router.arrivalCounts();
    if (arrivals.length > 0)
      peers.broadcast({kind: 'arrival_report', arrivals});
  }

  /** Returns the current load report of this host. */
  ownReport(): LoadReport {
    const {registry, router, rateLimiter} = this.options;
    const inFlight = [...registry.all()].flatMap(endpoint =>
      [...endpoint.inFlightByTarget].map(([target, requests]) => ({
        endpoint: endpoint.record.id,
        target,
        requests,
      })),
    );
    return {
      inFlight,
      waiting: router.waiting(),
      spent: [...rateLimiter.spending()],
    };
  }

  /** Tells all peers the version of this host's configuration. */
  offerConfiguration(): void {
    const {peers, configuration} = this.options;
    if (configuration.version === 0) return;
    peers.broadcast({
      kind: 'configuration_offer',
      version: configuration.version,
      document: '',
    });
  }

  private receive(from: PeerIdentity, message: PeerMessage): void {
    const {load, rateLimiter, replicas, crashTracker} = this.options;
    switch (message.kind) {
      case 'load_report':
        load.receive(from.hostId, message);
        rateLimiter.receive(
          `${from.hostId}/${from.incarnation}`,
          message.spent,
        );
        if (message.waiting.length > 0) this.options.onDemandChanged();
        return;
      case 'arrival_report':
        load.receiveArrivals(from.hostId, message.arrivals);
        return;
      case 'replica_state':
        replicas.receive(message);
        this.options.onManagerAnnounced(message.service, message.renewal);
        return;
      case 'lease_resigned':
        this.options.onManagerResigned(
          message.service,
          message.epoch,
          message.sinceOrderMilliseconds,
        );
        return;
      case 'request_broke_endpoint':
        crashTracker.receive(message.fingerprint, message.incarnation);
        return;
      case 'configuration_offer':
        void this.handleConfigurationOffer(from, message);
        return;
      case 'configuration_request':
        this.sendConfiguration(from, message.version);
        return;
      case 'heartbeat':
      case 'heartbeat_reply':
      case 'log_request':
      case 'log_entries':
      case 'snapshot':
      case 'demand':
      case 'replica_update':
      case 'replica_released':
      case 'loan_request':
      case 'loan_grant':
      case 'loan_return':
      case 'suspect':
        // Messages for hosts that replicate their own log; entry hosts ignore
        // them.
        return;
      default:
        return unreachable(message);
    }
  }

  private async handleConfigurationOffer(
    from: PeerIdentity,
    offer: {version: number; document: string},
  ): Promise<void> {
    const {configuration, clock, peers} = this.options;
    if (offer.document !== '') {
      configuration.applyIfNewer(
        Buffer.from(offer.document),
        `host ${from.hostId}`,
      );
      return;
    }
    if (offer.version <= configuration.version) return;
    await sleep(clock, CONFIGURATION_REQUEST_DELAY_MILLISECONDS);
    if (offer.version <= configuration.version) return;
    peers.send(from.hostId, {
      kind: 'configuration_request',
      version: configuration.version,
    });
  }

  private sendConfiguration(to: PeerIdentity, knownVersion: number): void {
    const {configuration, peers} = this.options;
    if (configuration.version <= knownVersion) return;
    peers.send(to.hostId, {
      kind: 'configuration_offer',
      version: configuration.version,
      document: configuration.document,
    });
  }
}
