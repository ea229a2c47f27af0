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

interface ReceivedReport {
  readonly report: LoadReport;
  readonly receivedAt: number;
}

/** Aggregates the load reports of all hosts. */
export class FleetLoad {
  private readonly reports = new Map<string, ReceivedReport>();
  private readonly peerArrivals = new Map<string, readonly ArrivalCount[]>();

  constructor(private readonly options: FleetLoadOptions) {}

  /** Replaces the report of a peer. */
  receive(hostId: string, report: LoadReport): void {
    const receivedAt = this.options.clock.monotonicMilliseconds();
    this.reports.set(hostId, {report, receivedAt});
  }

  /** Replaces the request counts of a peer. */
  receiveArrivals(hostId: string, arrivals: readonly ArrivalCount[]): void {
    this.peerArrivals.set(hostId, arrivals);
  }

  /** Removes the reports of a host whose connection has closed. */
  removeHost(hostId: string): void {
    this.peerArrivals.delete(hostId);
    this.reports.delete(hostId);
  }

  /** Unfinished requests of the other hosts, by endpoint. */
  peerInFlight(): ReadonlyMap<string, number> {
    const sums = new Map<string, number>();
    for (const report of this.peerReports()) {
      for (const {endpoint, requests} of report.inFlight) {
        sums.set(endpoint, (sums.get(endpoint) ?? 0) + requests);
      }
    }
    return sums;
  }

  /** Unfinished requests of all hosts, by endpoint and then by target. */
  inFlight(): ReadonlyMap<string, ReadonlyMap<string, number>> {
    const sums = new Map<string, Map<string, number>>();
    for (const report of this.allReports()) {
      for (const {endpoint, target, requests} of report.inFlight) {
        const targets = sums.get(endpoint) ?? new Map<string, number>();
        targets.set(target, (targets.get(target) ?? 0) + requests);
        sums.set(endpoint, targets);
      }
    }
    return sums;
  }

  /** Targets of a service that requests wait for on any host. */
  waiting(service: string): readonly WaitingTarget[] {
    const sums = new Map<string, WaitingTarget>();
    for (const report of this.allReports()) {
      for (const entry of report.waiting) {
        if (entry.service !== service) continue;
        const sum = sums.get(entry.target);
        if (sum === undefined) {
          sums.set(entry.target, {...entry});
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

  /** Number of requests for each model of a service since the hosts started. */
  arrivals(service: string): ReadonlyMap<string, number> {
    const sums = new Map<string, number>();
    const counts = [
      this.options.localArrivals(),
      ...this.peerArrivals.values(),
    ];
    for (const {service: name, model, requests} of counts.flat()) {
      if (name === service) sums.set(model, (sums.get(model) ?? 0) + requests);
    }
    return sums;
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
