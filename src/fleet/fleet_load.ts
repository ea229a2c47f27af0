import type {PeerMessageOf} from '../peers/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Load report of one host. */
export type LoadReport = Omit<PeerMessageOf<'load_report'>, 'kind'>;

/** Number of requests for one model since the start of a host. */
export type ArrivalCount = PeerMessageOf<'arrival_report'>['arrivals'][number];

/** Requests waiting for one target, summed over all hosts. */
export interface WaitingTarget {
  readonly service: string;
  readonly target: string;
  requests: number;
  /**
   * Requests that can still meet their latency objective after a load from
   * disk.
   */
  timely: number;
  /** Priority of the most urgent request; 0 is the most urgent. */
  priority: number;
  waitedMilliseconds: number;
}

/** Options of {@link FleetLoad}. */
export interface FleetLoadOptions {
  clock: Clock;
  /** Returns the report of this host; called for each query. */
  localReport: () => LoadReport;
  /** Returns the request counts of this host by model. */
  localArrivals: () => readonly ArrivalCount[];
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

interface ReceivedReport {
  readonly report: LoadReport;
  readonly receivedAt: number;
}

/** Unfinished requests of all hosts, as an active host reports them. */
type DigestCounts = PeerMessageOf<'fleet_digest'>['inFlight'];

/**
 * Aggregates the load reports of all hosts. An active host receives those of the
 * other active hosts and of its own standby hosts; a standby host receives only
 * digests.
 */
export class FleetLoad {
  private readonly reports = new Map<string, ReceivedReport>();
  private readonly peerArrivals = new Map<string, Map<string, ArrivalCount>>();
  private digest: {counts: DigestCounts; receivedAt: number} | undefined;

  constructor(private readonly options: FleetLoadOptions) {}

  /** Replaces the report of a peer. */
  receive(hostId: string, report: LoadReport): void {
    const receivedAt = this.options.clock.monotonicMilliseconds();
    this.reports.set(hostId, {report, receivedAt});
  }

  /** Replaces the counts of all hosts that an active host has sent. */
  receiveDigest(counts: DigestCounts): void {
    const receivedAt = this.options.clock.monotonicMilliseconds();
    this.digest = {counts, receivedAt};
  }

  /** Updates the request counts of a peer; unchanged ones may be missing. */
  receiveArrivals(hostId: string, arrivals: readonly ArrivalCount[]): void {
    const known =
      this.peerArrivals.get(hostId) ?? new Map<string, ArrivalCount>();
    this.peerArrivals.set(hostId, known);
    for (const arrival of arrivals) {
      known.set(`${arrival.service} ${arrival.model}`, arrival);
    }
  }

  /** Removes the reports of a host whose connection has closed. */
  removeHost(hostId: string): void {
    this.peerArrivals.delete(hostId);
    this.reports.delete(hostId);
  }

  /** Ids of the standby hosts that report to this host. */
  standbyHosts(): readonly string[] {
    const now = this.options.clock.monotonicMilliseconds();
    return [...this.reports].flatMap(([hostId, {report, receivedAt}]) =>
      report.isStandby && now - receivedAt <= REPORT_LIFETIME_MILLISECONDS
        ? [hostId]
        : [],
    );
  }

  /** Load of this host and of its standby hosts, for the other active hosts. */
  combinedReport(): LoadReport {
    const own = this.options.localReport();
    const standby = [...this.peerReports()].filter(({isStandby}) => isStandby);
    if (standby.length === 0) return own;
    const reports = [own, ...standby];
    return {
      // Contains the tokens of the standby hosts already.
      spent: own.spent,
      isStandby: false,
      inFlight: [...sumInFlight(reports)].flatMap(([endpoint, targets]) =>
        [...targets].map(([target, requests]) => ({
          endpoint,
          target,
          requests,
        })),
      ),
      waiting: sumWaiting(reports),
    };
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
    for (const report of this.peerReports()) {
      for (const {endpoint, requests} of report.inFlight) {
        sums.set(endpoint, (sums.get(endpoint) ?? 0) + requests);
      }
    }
    const now = this.options.clock.monotonicMilliseconds();
    const {digest} = this;
    if (
      digest !== undefined &&
      now - digest.receivedAt <= DIGEST_LIFETIME_MILLISECONDS
    ) {
      for (const {endpoint, requests} of digest.counts) {
        sums.set(endpoint, (sums.get(endpoint) ?? 0) + requests);
      }
      for (const {endpoint, requests} of this.options.localReport().inFlight) {
        const others = (sums.get(endpoint) ?? 0) - requests;
        sums.set(endpoint, Math.max(0, others));
      }
    }
    return sums;
  }

  /** Unfinished requests of all hosts, by endpoint and then by target. */
  inFlight(): ReadonlyMap<string, ReadonlyMap<string, number>> {
    return sumInFlight(this.allReports());
  }

  /** Targets of a service that requests wait for on any host. */
  waiting(service: string): readonly WaitingTarget[] {
    return sumWaiting(this.allReports()).filter(
      entry => entry.service === service,
    );
  }

  /** Number of requests for each model of a service since the hosts started. */
  arrivals(service: string): ReadonlyMap<string, number> {
    const sums = new Map<string, number>();
    for (const {service: name, model, requests} of this.allArrivals()) {
      if (name === service) sums.set(model, (sums.get(model) ?? 0) + requests);
    }
    return sums;
  }

  /** Request counts of this host and of its standby hosts. */
  combinedArrivals(): readonly ArrivalCount[] {
    const sums = new Map<string, ArrivalCount>();
    const standby = this.standbyHosts().flatMap(hostId => [
      ...(this.peerArrivals.get(hostId)?.values() ?? []),
    ]);
    for (const arrival of [...this.options.localArrivals(), ...standby]) {
      const key = `${arrival.service} ${arrival.model}`;
      const requests = (sums.get(key)?.requests ?? 0) + arrival.requests;
      sums.set(key, {...arrival, requests});
    }
    return [...sums.values()];
  }

  private *allArrivals(): Iterable<ArrivalCount> {
    yield* this.options.localArrivals();
    for (const arrivals of this.peerArrivals.values()) {
      yield* arrivals.values();
    }
  }

  private *allReports(): Iterable<LoadReport> {
    yield this.options.localReport();
    yield* this.peerReports();
  }

  private *peerReports(): Iterable<LoadReport> {
    const now = this.options.clock.monotonicMilliseconds();
    for (const {report, receivedAt} of this.reports.values()) {
      if (now - receivedAt <= REPORT_LIFETIME_MILLISECONDS) yield report;
    }
  }
}

function sumInFlight(
  reports: Iterable<LoadReport>,
): Map<string, Map<string, number>> {
  const sums = new Map<string, Map<string, number>>();
  for (const report of reports) {
    for (const {endpoint, target, requests} of report.inFlight) {
      const targets = sums.get(endpoint) ?? new Map<string, number>();
      targets.set(target, (targets.get(target) ?? 0) + requests);
      sums.set(endpoint, targets);
    }
  }
  return sums;
}

function sumWaiting(reports: Iterable<LoadReport>): WaitingTarget[] {
  const sums = new Map<string, WaitingTarget>();
  for (const report of reports) {
    for (const entry of report.waiting) {
      const key = `${entry.service} ${entry.target}`;
      const sum = sums.get(key);
      if (sum === undefined) {
        sums.set(key, {...entry});
        continue;
      }
      sum.requests += entry.requests;
      sum.timely += entry.timely;
      sum.priority = Math.min(sum.priority, entry.priority);
      sum.waitedMilliseconds = Math.max(
        sum.waitedMilliseconds,
        entry.waitedMilliseconds,
      );
    }
  }
  return [...sums.values()];
}
