import {unreachable} from '../errors/mod.ts';
import {
  FINAL_HOPS,
  type HostLoad,
  planForwarding,
  type ReportDisposition,
} from '../fleet/mod.ts';
import type {PeerIdentity, PeerMessage, PeerMessageOf} from '../peers/mod.ts';
import type {TableUpdate} from '../stores/mod.ts';
import {sleep} from '../time/mod.ts';
import type {FleetStateExchangeOptions} from './_fleet_state_exchange_options.ts';
import {decodeTableUpdate, encodeTableUpdate} from './_table_message.ts';
import {DemandReporter} from './demand_reporter.ts';
import {LoadReporter} from './load_reporter.ts';
import {StandbyDigest} from './standby_digest.ts';

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

type ResendableReport = PeerMessageOf<'resend_request'>['report'];

/** Intervals between load reports, by the role of the host. */
const REPORT_INTERVALS_MILLISECONDS = {active: 100, standby: 500} as const;

/** Minimum interval between requests to one peer for the same complete state. */
const RESEND_INTERVAL_MILLISECONDS = 500;

/** Omits keys from each member of a union. */
type DistributiveOmit<Union, Key extends PropertyKey> = Union extends unknown
  ? Omit<Union, Key>
  : never;

/**
 * Exchanges the load, demand and changes known to this host with its peers.
 *
 * An active host sends its load to the other active hosts, its demand to the hosts
 * that manage pools, and a digest of all loads and replicas to its standby hosts. A
 * standby host reports only to its upstream host, which counts it as its own. Reports
 * contain what has changed since the previous one; a host that misses one asks for
 * a complete one. Announcements are passed on along the same connections.
 */
export class FleetStateExchange {
  private readonly abortController = new AbortController();
  private readonly loadReporter: LoadReporter;
  private readonly demandReporter: DemandReporter;
  private readonly standbyDigest: StandbyDigest;
  private readonly knownStandbyHosts = new Set<string>();
  /** Time of the last request to a peer, by peer and subject. */
  private readonly requestedAt = new Map<string, number>();

  constructor(private readonly options: FleetStateExchangeOptions) {
    const {peers} = options;
    this.loadReporter = new LoadReporter({
      ...options,
      onCounted: () => options.router.countsUpdated?.(),
      send: report => peers.sendState(this.reportReceivers(), report),
    });
    this.demandReporter = new DemandReporter({
      ...options,
      send: (hostId, report) => peers.sendState([hostId], report),
    });
    this.standbyDigest = new StandbyDigest(options);
    peers.onMessage((from, message) => this.receive(from, message));
    peers.onConnectionEvent(observation => {
      if (observation.kind === 'connected') {
        this.requestMissingTables(observation.peer);
        options.onPeerConnected(observation.peer.hostId);
      }
      if (observation.kind === 'disconnected') {
        const {hostId} = observation.peer;
        options.load.removeHost(hostId);
        this.demandReporter.removeHost(hostId);
        this.knownStandbyHosts.delete(hostId);
      }
    });
  }

  /** Sends reports until {@link stop}. */
  async run(): Promise<void> {
    const {clock} = this.options;
    while (!this.abortController.signal.aborted) {
      this.report();
      this.standbyDigest.send();
      const role = this.options.topology.isActive ? 'active' : 'standby';
      const interval = REPORT_INTERVALS_MILLISECONDS[role];
      await sleep(clock, interval, this.abortController.signal);
    }
  }

  /** Stops the reports. */
  stop(): void {
    this.abortController.abort();
  }

  /** Reports the demand soon, because it has changed. */
  reportDemandSoon(): void {
    this.demandReporter.reportSoon();
  }

  /** Reports the load and the demand of this host. */
  report(): void {
    this.loadReporter.report();
    this.demandReporter.report();
  }

  /** Returns the current load of this host alone. */
  ownLoad(): HostLoad {
    const {registry, router} = this.options;
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
      arrivals: router.arrivalCounts(),
    };
  }

  /** Sends a message to all hosts; those without a connection get it from others. */
  announce(message: DistributiveOmit<Announcement, 'hops'>): void {
    const {peers} = this.options;
    // Standby hosts get the replicas with the digest.
    if (message.kind === 'replica_state')
      peers.sendState(this.reportReceivers(), {...message, hops: 0});
    else peers.broadcast({...message, hops: 0});
  }

  /** Sends the changes of a table that this host has read. */
  publishTable(update: TableUpdate): void {
    this.announce(encodeTableUpdate(update));
  }

  /** The upstream host of a standby host; the other active hosts of an active one. */
  private reportReceivers(): readonly string[] {
    const {load, peers, topology} = this.options;
    const {upstream} = topology;
    if (upstream !== undefined) return [upstream];
    const standbyHosts = new Set(load.standbyHosts());
    return peers
      .connectedPeers()
      .map(({hostId}) => hostId)
      .filter(hostId => !standbyHosts.has(hostId));
  }

  /** Passes an announcement on to hosts without a connection to its sender. */
  private passOn(from: PeerIdentity, message: Announcement): void {
    const {load, peers, topology} = this.options;
    const standbyHosts = load.standbyHosts();
    const forwarding = planForwarding({
      isActive: topology.isActive,
      hops: message.hops,
      from: from.hostId,
      standbyHosts,
      peers: peers.connectedPeers().map(({hostId}) => hostId),
    });
    if (forwarding === undefined) return;
    // Standby hosts get the replicas with the digest.
    const to =
      message.kind === 'replica_state'
        ? forwarding.to.filter(hostId => !standbyHosts.includes(hostId))
        : forwarding.to;
    peers.sendToAll(to, {...message, hops: forwarding.hops});
  }

  private receive(from: PeerIdentity, message: PeerMessage): void {
    const {load, rateLimiter, crashTracker} = this.options;
    switch (message.kind) {
      case 'load_report':
        this.receiveLoadReport(from, message);
        return;
      case 'demand_report':
        this.receiveDemandReport(from, message);
        return;
      case 'resend_request':
        this.resend(from, message.report);
        return;
      case 'fleet_digest':
        load.receiveDigest(message.inFlight);
        rateLimiter.receiveDigest(processOf(from), message.spent);
        this.options.topology.adoptDownHosts(message.downHosts);
        return;
      case 'replica_state':
        this.receiveReplicaState(from, message);
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
        this.options.limits.receiveAnnouncement(message);
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
      case 'origin_request':
        this.options.streamOrigins.answer(from.hostId, message);
        return;
      case 'origin_reply':
        this.options.streamOrigins.receive(from.hostId, message);
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
        // Messages for hosts that replicate their own log.
        return;
      default:
        return unreachable(message);
    }
  }

  private receiveLoadReport(
    from: PeerIdentity,
    report: PeerMessageOf<'load_report'>,
  ): void {
    const {load, rateLimiter, topology} = this.options;
    // A standby host gets the load of all hosts with the digest.
    if (topology.upstream !== undefined) return;
    const disposition = load.receiveLoad(from, report);
    this.requestIfMissing(from, 'load_report', disposition);
    if (disposition !== 'apply') return;
    if (!report.isStandby) {
      this.knownStandbyHosts.delete(from.hostId);
      rateLimiter.receive(processOf(from), report.spent);
      return;
    }
    rateLimiter.receiveFromStandby(processOf(from), report.spent);
    if (this.knownStandbyHosts.has(from.hostId)) return;
    this.knownStandbyHosts.add(from.hostId);
    this.standbyDigest.sendReplicas(from.hostId);
  }

  private receiveDemandReport(
    from: PeerIdentity,
    report: PeerMessageOf<'demand_report'>,
  ): void {
    const disposition = this.options.load.receiveDemand(from, report);
    this.requestIfMissing(from, 'demand_report', disposition);
    if (disposition === 'apply' && report.waiting.length > 0)
      this.options.onDemandChanged();
  }

  private receiveReplicaState(
    from: PeerIdentity,
    message: PeerMessageOf<'replica_state'>,
  ): void {
    const {service, epoch, renewal} = message;
    const {replicas, onManagerAnnounced} = this.options;
    const disposition = replicas.receive(message);
    this.requestIfMissing(from, 'replica_state', disposition);
    onManagerAnnounced(service, epoch, renewal);
    this.demandReporter.recordManager(service, from.hostId);
    this.passOn(from, message);
  }

  private requestIfMissing(
    from: PeerIdentity,
    report: ResendableReport,
    disposition: ReportDisposition,
  ): void {
    if (disposition !== 'resend') return;
    this.requestOnce(from, {kind: 'resend_request', report}, report);
  }

  /** Sends a request unless the same one was sent a moment ago. */
  private requestOnce(
    to: PeerIdentity,
    request: PeerMessage,
    subject: string,
  ): void {
    const {clock, peers} = this.options;
    const now = clock.monotonicMilliseconds();
    const key = `${to.hostId} ${subject}`;
    const requestedAt = this.requestedAt.get(key) ?? Number.NEGATIVE_INFINITY;
    if (now - requestedAt < RESEND_INTERVAL_MILLISECONDS) return;
    this.requestedAt.set(key, now);
    peers.send(to.hostId, request);
  }

  /** Sends a complete report to a host that misses reports. */
  private resend(to: PeerIdentity, report: ResendableReport): void {
    switch (report) {
      case 'load_report':
        this.options.peers.send(to.hostId, this.loadReporter.completeReport());
        return;
      case 'demand_report':
        this.demandReporter.resend(to.hostId);
        return;
      case 'replica_state':
        this.sendReplicas(to);
        return;
      default:
        return unreachable(report);
    }
  }

  /** Sends the complete replicas of all pools as known here. */
  private sendReplicas({hostId}: PeerIdentity): void {
    const {peers, replicas} = this.options;
    if (this.knownStandbyHosts.has(hostId)) {
      this.standbyDigest.sendReplicas(hostId);
      return;
    }
    for (const announcement of replicas.currentAnnouncements()) {
      peers.sendState([hostId], {
        kind: 'replica_state',
        hops: FINAL_HOPS,
        ...announcement,
      });
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
    this.requestOnce(from, {kind: 'table_request', table}, `table ${table}`);
  }

  private sendTable(to: PeerIdentity, table: string): void {
    const content = this.options.tableContent(table);
    if (content === undefined) return;
    this.options.peers.send(to.hostId, {
      ...encodeTableUpdate(content),
      hops: 0,
    });
  }
}

function processOf({hostId, incarnation}: PeerIdentity): string {
  return `${hostId}/${incarnation}`;
}
