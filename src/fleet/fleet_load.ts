import type {PeerIdentity, PeerMessageOf} from '../peers/mod.ts';
import type {Clock} from '../time/mod.ts';
import {
  HostDemand,
  sumArrivals,
  sumWaiting,
  type WaitingTarget,
} from './host_demand.ts';
import type {
  ArrivalCount,
  HostLoad,
  InFlightCount,
  WaitingCount,
} from './load_report.ts';
import {type ReportDisposition, ReportSequence} from './report_sequence.ts';

/** Options of {@link FleetLoad}. */
export interface FleetLoadOptions {
  clock: Clock;
  /** Returns the load of this host; called for each query. */
  localLoad: () => HostLoad;
}

/**
 * Age above which reports are ignored, since their host has probably stopped.
 */
const REPORT_LIFETIME_MILLISECONDS = 2500;

/**
 * Age above which a digest is ignored; four times the interval at which active
 * hosts send them.
 */
const DIGEST_LIFETIME_MILLISECONDS = 4000;

/**
 * Mean age of the counts in a report or a digest; half the interval at which active
 * hosts report their load, since each of them reports at a moment of its own.
 */
const MEAN_REPORT_AGE_MILLISECONDS = 50;

/** Last reports of one host. */
interface HostReports {
  readonly loadSequence: ReportSequence;
  readonly demandSequence: ReportSequence;
  readonly inFlight: Map<string, InFlightCount>;
  readonly demand: HostDemand;
  isStandby: boolean;
  loadReceivedAt: number;
  demandReceivedAt: number;
}

/** Unfinished requests of all hosts, as an active host reports them. */
type DigestCounts = PeerMessageOf<'fleet_digest'>['inFlight'];

/**
 * Aggregates the load reports of all hosts. An active host receives those of the
 * other active hosts and of its own standby hosts; a standby host receives only
 * digests. Demand is reported only to the hosts that manage pools.
 */
export class FleetLoad {
  private readonly reports = new Map<string, HostReports>();
  private digest: {counts: DigestCounts; receivedAt: number} | undefined;

  private peersCountedAt: number;

  constructor(private readonly options: FleetLoadOptions) {
    this.peersCountedAt = this.now();
  }

  /**
   * Monotonic time at which the counts that {@link peerInFlight} has last returned were
   * taken on average.
   */
  get countedAt(): number {
    return this.peersCountedAt;
  }

  /** Applies a report of the load of a peer. */
  receiveLoad(
    from: PeerIdentity,
    report: PeerMessageOf<'load_report'>,
  ): ReportDisposition {
    const {sequence, afterSequence, isStandby} = report;
    const reports = this.reportsOf(from.hostId);
    const source = from.incarnation;
    const position = {source, sequence, afterSequence};
    const disposition = reports.loadSequence.accept(position);
    if (disposition !== 'apply') return disposition;
    if (afterSequence === undefined) reports.inFlight.clear();
    for (const entry of report.inFlight) {
      const key = `${entry.endpoint} ${entry.target}`;
      if (entry.requests === 0) reports.inFlight.delete(key);
      else reports.inFlight.set(key, entry);
    }
    reports.isStandby = isStandby;
    reports.loadReceivedAt = this.now();
    return disposition;
  }

  /** Applies a report of the demand of a peer. */
  receiveDemand(
    from: PeerIdentity,
    report: PeerMessageOf<'demand_report'>,
  ): ReportDisposition {
    const {sequence, afterSequence, waiting, arrivals} = report;
    const reports = this.reportsOf(from.hostId);
    const source = from.incarnation;
    const position = {source, sequence, afterSequence};
    const disposition = reports.demandSequence.accept(position);
    if (disposition !== 'apply') return disposition;
    const isComplete = afterSequence === undefined;
    reports.demand.apply({waiting, arrivals, isComplete}, this.now());
    reports.demandReceivedAt = this.now();
    return disposition;
  }

  /** Replaces the counts of all hosts that an active host has sent. */
  receiveDigest(counts: DigestCounts): void {
    this.digest = {counts, receivedAt: this.now()};
  }

  /** Removes the reports of a host whose connection has closed. */
  removeHost(hostId: string): void {
    this.reports.delete(hostId);
  }

  /** Ids of the standby hosts that report to this host. */
  standbyHosts(): readonly string[] {
    return [...this.reports].flatMap(([hostId, reports]) =>
      reports.isStandby && this.hasFreshLoad(reports) ? [hostId] : [],
    );
  }

  /** Unfinished requests of this host alone. */
  ownInFlight(): readonly InFlightCount[] {
    return this.options.localLoad().inFlight;
  }

  /** Unfinished requests of this host and of its standby hosts. */
  combinedInFlight(): readonly InFlightCount[] {
    const own = this.options.localLoad().inFlight;
    const standby = this.freshReports().filter(({isStandby}) => isStandby);
    if (standby.length === 0) return own;
    const counts = [own, ...standby.map(({inFlight}) => inFlight.values())];
    return [...sumInFlight(counts)].flatMap(([endpoint, targets]) =>
      [...targets].map(([target, requests]) => ({endpoint, target, requests})),
    );
  }

  /** Waiting requests of this host and of its standby hosts. */
  combinedWaiting(): readonly WaitingTarget[] {
    return sumWaiting([
      ...this.options.localLoad().waiting,
      ...this.peerWaiting(({isStandby}) => isStandby),
    ]);
  }

  /** Waiting requests of all hosts that have reported them to this one. */
  allWaiting(): readonly WaitingTarget[] {
    return sumWaiting([
      ...this.options.localLoad().waiting,
      ...this.peerWaiting(() => true),
    ]);
  }

  /** Unfinished requests of all hosts, by endpoint. */
  digestCounts(): DigestCounts {
    return [...this.inFlight()].map(([endpoint, targets]) => ({
      endpoint,
      requests: [...targets.values()].reduce((sum, count) => sum + count, 0),
    }));
  }

  /** Unfinished requests of the other hosts, by endpoint. */
  peerInFlight(): ReadonlyMap<string, number> {
    const sums = new Map<string, number>();
    const add = (endpoint: string, requests: number) =>
      sums.set(endpoint, (sums.get(endpoint) ?? 0) + requests);
    for (const {inFlight} of this.freshReports()) {
      for (const {endpoint, requests} of inFlight.values())
        add(endpoint, requests);
    }
    const {digest} = this;
    this.peersCountedAt = this.now() - MEAN_REPORT_AGE_MILLISECONDS;
    if (
      digest !== undefined &&
      this.now() - digest.receivedAt <= DIGEST_LIFETIME_MILLISECONDS
    ) {
      this.peersCountedAt = digest.receivedAt - MEAN_REPORT_AGE_MILLISECONDS;
      for (const {endpoint, requests} of digest.counts) add(endpoint, requests);
      for (const {endpoint, requests} of this.options.localLoad().inFlight) {
        const others = (sums.get(endpoint) ?? 0) - requests;
        sums.set(endpoint, Math.max(0, others));
      }
    }
    return sums;
  }

  /** Unfinished requests of all hosts, by endpoint and then by target. */
  inFlight(): ReadonlyMap<string, ReadonlyMap<string, number>> {
    return sumInFlight([
      this.options.localLoad().inFlight,
      ...this.freshReports().map(({inFlight}) => inFlight.values()),
    ]);
  }

  /** Targets of a service that requests wait for on any host. */
  waiting(service: string): readonly WaitingTarget[] {
    return this.allWaiting().filter(entry => entry.service === service);
  }

  /** Number of requests for each model of a service since the hosts started. */
  arrivals(service: string): ReadonlyMap<string, number> {
    const counts = this.allArrivals().filter(
      entry => entry.service === service,
    );
    return new Map(counts.map(({model, requests}) => [model, requests]));
  }

  /** Request counts of this host and of its standby hosts. */
  combinedArrivals(): readonly ArrivalCount[] {
    return this.sumArrivalsOf(({isStandby}) => isStandby);
  }

  /** Request counts of all hosts that have reported them to this one. */
  allArrivals(): readonly ArrivalCount[] {
    return this.sumArrivalsOf(() => true);
  }

  private sumArrivalsOf(
    isIncluded: (reports: HostReports) => boolean,
  ): readonly ArrivalCount[] {
    const peers = [...this.reports.values()].filter(isIncluded);
    return sumArrivals([
      ...this.options.localLoad().arrivals,
      ...peers.flatMap(({demand}) => demand.arrivals()),
    ]);
  }

  private peerWaiting(
    isIncluded: (reports: HostReports) => boolean,
  ): readonly WaitingCount[] {
    const now = this.now();
    return [...this.reports.values()]
      .filter(
        reports =>
          isIncluded(reports) &&
          now - reports.demandReceivedAt <= REPORT_LIFETIME_MILLISECONDS,
      )
      .flatMap(({demand}) => demand.waiting(now));
  }

  private freshReports(): readonly HostReports[] {
    return [...this.reports.values()].filter(reports =>
      this.hasFreshLoad(reports),
    );
  }

  private hasFreshLoad({loadReceivedAt}: HostReports): boolean {
    return this.now() - loadReceivedAt <= REPORT_LIFETIME_MILLISECONDS;
  }

  private reportsOf(hostId: string): HostReports {
    let reports = this.reports.get(hostId);
    if (reports === undefined) {
      reports = {
        loadSequence: new ReportSequence(),
        demandSequence: new ReportSequence(),
        inFlight: new Map(),
        demand: new HostDemand(),
        isStandby: false,
        loadReceivedAt: Number.NEGATIVE_INFINITY,
        demandReceivedAt: Number.NEGATIVE_INFINITY,
      };
      this.reports.set(hostId, reports);
    }
    return reports;
  }

  private now(): number {
    return this.options.clock.monotonicMilliseconds();
  }
}

function sumInFlight(
  counts: Iterable<Iterable<InFlightCount>>,
): Map<string, Map<string, number>> {
  const sums = new Map<string, Map<string, number>>();
  for (const entries of counts) {
    for (const {endpoint, target, requests} of entries) {
      const targets = sums.get(endpoint) ?? new Map<string, number>();
      targets.set(target, (targets.get(target) ?? 0) + requests);
      sums.set(endpoint, targets);
    }
  }
  return sums;
}
