import {unreachable} from '../errors/mod.ts';
import {
  type ArrivalCount,
  type LoadReport,
  planForwarding,
} from '../fleet/mod.ts';
import type {PeerIdentity, PeerMessage, PeerMessageOf} from '../peers/mod.ts';
import type {TableUpdate} from '../stores/mod.ts';
import {sleep} from '../time/mod.ts';
import type {FleetStateExchangeOptions} from './_fleet_state_exchange_options.ts';
import {decodeTableUpdate, encodeTableUpdate} from './_table_message.ts';

/** A message that is passed on to hosts without a connection to its sender. */
type Announcement = PeerMessageOf<
  | 'table_update'
  | 'replica_state'
  | 'lease_resigned'
  | 'request_broke_endpoint'
  | 'endpoint_limit'
  | 'endpoint_leaving'
  | 'prompt_part'
>;

/** Interval between load reports. */
const REPORT_INTERVAL_MILLISECONDS = 200;

/** Minimum interval between load reports, also when the demand changes. */
const MINIMUM_REPORT_INTERVAL_MILLISECONDS = 50;

/** Interval between arrival reports, which are only used to compute rates. */
const ARRIVAL_REPORT_INTERVAL_MILLISECONDS = 1000;

/** Interval between unchanged load reports, which serve as heartbeats. */
const IDLE_REPORT_INTERVAL_MILLISECONDS = 500;

/** Interval between unchanged reports of a standby host, and between digests. */
const STANDBY_INTERVAL_MILLISECONDS = 1000;

/** Interval between requests for a table of which changes are missing. */
const TABLE_REQUEST_INTERVAL_MILLISECONDS = 500;

/** Omits keys from each member of a union. */
type DistributiveOmit<Union, Key extends PropertyKey> = Union extends unknown
  ? Omit<Union, Key>
  : never;

/**
 * Exchanges the load, demand and changes known to this host with its peers.
 *
 * An active host sends its reports to the other active hosts, and a digest of all
 * reports to its standby hosts. A standby host reports only to its upstream host,
 * which counts it as its own. Announcements are passed on along the same
 * connections.
 */
export class FleetStateExchange {
  private readonly abortController = new AbortController();
  private readonly knownStandbyHosts = new Set<string>();
  private lastReport = '';
  private isReportScheduled = false;
  private reportedAt = Number.NEGATIVE_INFINITY;
  private arrivalsReportedAt = Number.NEGATIVE_INFINITY;
  private reportedArrivals = new Map<string, number>();
  private readonly tableRequestedAt = new Map<string, number>();
  private digestSentAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: FleetStateExchangeOptions) {
    options.peers.onMessage((from, message) => this.receive(from, message));
    options.peers.onConnectionEvent(observation => {
      if (observation.kind === 'connected') {
        this.requestMissingTables(observation.peer);
        this.reportedArrivals.clear();
        options.onPeerConnected(observation.peer.hostId);
      }
      if (observation.kind === 'disconnected') {
        options.load.removeHost(observation.peer.hostId);
        this.knownStandbyHosts.delete(observation.peer.hostId);
      }
    });
  }

  /** Sends reports until {@link stop}. */
  async run(): Promise<void> {
    const {clock} = this.options;
    while (!this.abortController.signal.aborted) {
      this.report();
      this.reportArrivals();
      this.sendDigest();
      const interval = this.options.topology.isActive
        ? REPORT_INTERVAL_MILLISECONDS
        : IDLE_REPORT_INTERVAL_MILLISECONDS;
      await sleep(clock, interval, this.abortController.signal);
    }
  }

  /** Stops the reports. */
  stop(): void {
    this.abortController.abort();
  }

  /**
   * Sends a load report soon, because the demand has changed. Many requests at once
   * share one report.
   */
  reportSoon(): void {
    if (this.isReportScheduled) return;
    this.isReportScheduled = true;
    const sinceReport =
      this.options.clock.monotonicMilliseconds() - this.reportedAt;
    this.options.clock.startTimer(
      Math.max(0, MINIMUM_REPORT_INTERVAL_MILLISECONDS - sinceReport),
      () => {
        this.isReportScheduled = false;
        this.report();
      },
    );
  }

  /** Sends a load report if it has changed or the idle interval has passed. */
  report(): void {
    const {clock, load, registry, topology} = this.options;
    const peerInFlight = load.peerInFlight();
    for (const endpoint of registry.all()) {
      endpoint.peerInFlight = peerInFlight.get(endpoint.record.id) ?? 0;
    }
    const isStandby = !topology.isActive;
    const report = isStandby
      ? {...this.ownReport(), isStandby}
      : load.combinedReport();
    const content = JSON.stringify({
      ...report,
      spent: report.spent.map(({team, tokens}) => [team, tokens]),
      waiting: report.waiting.map(({target, requests}) => [target, requests]),
    });
    const now = clock.monotonicMilliseconds();
    const interval = isStandby
      ? STANDBY_INTERVAL_MILLISECONDS
      : IDLE_REPORT_INTERVAL_MILLISECONDS;
    const isDue = now - this.reportedAt >= interval;
    if (content === this.lastReport && !isDue) return;
    this.lastReport = content;
    this.reportedAt = now;
    this.sendToPeers({kind: 'load_report', ...report});
  }

  /** Returns the current load report of this host alone. */
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
      isStandby: false,
    };
  }

  /** Sends a message to all hosts; those without a connection get it from others. */
  announce(message: DistributiveOmit<Announcement, 'hops'>): void {
    this.options.peers.broadcast({...message, hops: 0});
  }

  /** Sends the changes of a table that this host has read. */
  publishTable(update: TableUpdate): void {
    this.announce(encodeTableUpdate(update));
  }

  /** Arrivals since the last report; all of them after a peer has connected. */
  private reportArrivals(): void {
    const {clock, load, router, topology} = this.options;
    const now = clock.monotonicMilliseconds();
    if (now - this.arrivalsReportedAt < ARRIVAL_REPORT_INTERVAL_MILLISECONDS)
      return;
    this.arrivalsReportedAt = now;
    const counts = topology.isActive
      ? load.combinedArrivals()
      : router.arrivalCounts();
    const arrivals = counts.filter(
      count => this.reportedArrivals.get(keyOf(count)) !== count.requests,
    );
    if (arrivals.length === 0) return;
    for (const count of arrivals) {
      this.reportedArrivals.set(keyOf(count), count.requests);
    }
    this.sendToPeers({kind: 'arrival_report', arrivals});
  }

  private sendDigest(): void {
    const {clock, load, peers, rateLimiter, topology} = this.options;
    const now = clock.monotonicMilliseconds();
    const isDue = now - this.digestSentAt >= STANDBY_INTERVAL_MILLISECONDS;
    if (!topology.isActive || !isDue) return;
    this.digestSentAt = now;
    const standbyHosts = load.standbyHosts();
    if (standbyHosts.length === 0) return;
    peers.sendToAll(standbyHosts, {
      kind: 'fleet_digest',
      inFlight: load.digestCounts(),
      spent: [...rateLimiter.fleetSpending()],
      downHosts: [...topology.downHosts],
    });
  }

  /** Sends to the upstream host, or from an active host to the other active ones. */
  private sendToPeers(message: PeerMessage): void {
    const {load, peers, topology} = this.options;
    const {upstream} = topology;
    if (upstream !== undefined) {
      peers.send(upstream, message);
      return;
    }
    const standbyHosts = new Set(load.standbyHosts());
    const others = peers
      .connectedPeers()
      .map(({hostId}) => hostId)
      .filter(hostId => !standbyHosts.has(hostId));
    peers.sendToAll(others, message);
  }

  /** Passes an announcement on to hosts without a connection to its sender. */
  private passOn(from: PeerIdentity, message: Announcement): void {
    const {load, peers, topology} = this.options;
    const forwarding = planForwarding({
      isActive: topology.isActive,
      hops: message.hops,
      from: from.hostId,
      standbyHosts: load.standbyHosts(),
      peers: peers.connectedPeers().map(({hostId}) => hostId),
    });
    if (forwarding === undefined) return;
    peers.sendToAll(forwarding.to, {...message, hops: forwarding.hops});
  }

  private receive(from: PeerIdentity, message: PeerMessage): void {
    const {load, rateLimiter, replicas, crashTracker} = this.options;
    switch (message.kind) {
      case 'load_report':
        this.receiveLoadReport(from, message);
        return;
      case 'arrival_report':
        load.receiveArrivals(from.hostId, message.arrivals);
        return;
      case 'fleet_digest':
        load.receiveDigest(message.inFlight);
        rateLimiter.receiveDigest(processOf(from), message.spent);
        this.options.topology.adoptDownHosts(message.downHosts);
        return;
      case 'replica_state':
        replicas.receive(message);
        this.options.onManagerAnnounced(message.service, message.renewal);
        this.passOn(from, message);
        return;
      case 'lease_resigned':
        this.options.onManagerResigned(
          message.service,
          message.epoch,
          message.sinceOrderMilliseconds,
        );
        this.passOn(from, message);
        return;
      case 'request_broke_endpoint':
        crashTracker.receive(message.fingerprint, message.incarnation);
        this.passOn(from, message);
        return;
      case 'prompt_part':
        this.options.promptParts.receive(message.service, message.change);
        this.passOn(from, message);
        return;
      case 'endpoint_limit':
        this.options.limits.receive(
          message.incarnation,
          message.ratePerSecond ?? undefined,
        );
        this.passOn(from, message);
        return;
      case 'endpoint_leaving':
        this.options.registry.recordLeaving(message.incarnation, from.hostId);
        this.passOn(from, message);
        return;
      case 'permit_request':
        void this.options.permits.answer(from.hostId, message);
        return;
      case 'permit_reply':
        this.options.permits.receive(message);
        return;
      case 'table_update':
        this.receiveTableUpdate(from, message);
        return;
      case 'table_request':
        this.sendTable(from, message.table);
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

  private receiveTableUpdate(
    from: PeerIdentity,
    message: PeerMessageOf<'table_update'>,
  ): void {
    const {onTableUpdate, logger} = this.options;
    const {table} = message;
    const update = decodeTableUpdate(message);
    if (!update.ok) {
      const {reason} = update.error;
      logger.event('peerMessageInvalid', {peer: from.hostId, reason});
      return;
    }
    const isMissingChanges = onTableUpdate(update.value, from.hostId);
    // A complete table is only for the host that has asked for it.
    if (!message.isComplete) this.passOn(from, message);
    if (isMissingChanges) this.requestTable(from, table);
  }

  /** Requests the tables that this host could not read, for example after a restart. */
  private requestMissingTables(from: PeerIdentity): void {
    for (const table of this.options.missingTables()) {
      this.requestTable(from, table);
    }
  }

  private requestTable(from: PeerIdentity, table: string): void {
    const {clock, peers} = this.options;
    const now = clock.monotonicMilliseconds();
    const requestedAt = this.tableRequestedAt.get(table) ?? -Infinity;
    if (now - requestedAt < TABLE_REQUEST_INTERVAL_MILLISECONDS) return;
    this.tableRequestedAt.set(table, now);
    peers.send(from.hostId, {kind: 'table_request', table});
  }

  private sendTable(to: PeerIdentity, table: string): void {
    const content = this.options.tableContent(table);
    if (content === undefined) return;
    this.options.peers.send(to.hostId, {
      ...encodeTableUpdate(content),
      hops: 0,
    });
  }

  private receiveLoadReport(
    from: PeerIdentity,
    report: PeerMessageOf<'load_report'>,
  ): void {
    const {load, rateLimiter, replicas, peers} = this.options;
    load.receive(from.hostId, report);
    if (report.waiting.length > 0) this.options.onDemandChanged();
    if (!report.isStandby) {
      this.knownStandbyHosts.delete(from.hostId);
      rateLimiter.receive(processOf(from), report.spent);
      return;
    }
    rateLimiter.receiveFromStandby(processOf(from), report.spent);
    if (this.knownStandbyHosts.has(from.hostId)) return;
    this.knownStandbyHosts.add(from.hostId);
    for (const announcement of replicas.currentAnnouncements()) {
      peers.send(from.hostId, {
        kind: 'replica_state',
        hops: 2,
        ...announcement,
      });
    }
  }
}

function processOf({hostId, incarnation}: PeerIdentity): string {
  return `${hostId}/${incarnation}`;
}

function keyOf({service, model}: ArrivalCount): string {
  return `${service} ${model}`;
}
