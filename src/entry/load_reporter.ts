import {
  type EndpointRegistry,
  type FleetLoad,
  type FleetTopology,
  hasChanges,
  type InFlightCount,
  StateTracker,
} from '../fleet/mod.ts';
import type {FleetRateLimiter, TeamSpending} from '../limits/mod.ts';
import type {PeerMessageOf} from '../peers/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Options of {@link LoadReporter}. */
export interface LoadReporterOptions {
  clock: Clock;
  topology: Pick<FleetTopology, 'isActive'>;
  registry: Pick<EndpointRegistry, 'all'>;
  load: FleetLoad;
  rateLimiter: Pick<FleetRateLimiter, 'spending'>;
  /** Called when the requests of other hosts at the endpoints have been counted. */
  onCounted?: () => void;
  /** Sends a report to all hosts that need the load of this one. */
  send: (report: LoadReportMessage) => void;
}

/** Report of the load of a host. */
export type LoadReportMessage = PeerMessageOf<'load_report'>;

/** Interval between unchanged reports, which serve as heartbeats. */
const IDLE_INTERVAL_MILLISECONDS = 500;

/** The same on a standby host. */
const STANDBY_INTERVAL_MILLISECONDS = 1000;

/** Reports the unfinished requests and the spending of this host as they change. */
export class LoadReporter {
  private sequence = 0;
  private reportedAt = Number.NEGATIVE_INFINITY;
  private readonly inFlight = new StateTracker<InFlightCount>({
    keyOf: ({endpoint, target}) => `${endpoint} ${target}`,
    isSame: (reported, current) => reported.requests === current.requests,
  });
  private readonly spent = new StateTracker<TeamSpending>({
    keyOf: ({team}) => team,
    isSame: (reported, current) => reported.tokens === current.tokens,
  });

  constructor(private readonly options: LoadReporterOptions) {}

  /** Sends what has changed, or a heartbeat when the interval has passed. */
  report(): void {
    const {clock, load, registry, rateLimiter, topology} = this.options;
    const peerInFlight = load.peerInFlight();
    for (const endpoint of registry.all()) {
      endpoint.peerInFlight = peerInFlight.get(endpoint.record.id) ?? 0;
    }
    this.options.onCounted?.();
    const isStandby = !topology.isActive;
    const inFlight = this.inFlight.update(
      isStandby ? load.ownInFlight() : load.combinedInFlight(),
    );
    const spent = this.spent.update(rateLimiter.spending());
    const now = clock.monotonicMilliseconds();
    const interval = isStandby
      ? STANDBY_INTERVAL_MILLISECONDS
      : IDLE_INTERVAL_MILLISECONDS;
    const isDue = now - this.reportedAt >= interval;
    if (!hasChanges(inFlight) && !hasChanges(spent) && !isDue) return;
    this.reportedAt = now;
    const afterSequence = this.sequence;
    this.sequence++;
    this.options.send({
      kind: 'load_report',
      sequence: this.sequence,
      afterSequence,
      inFlight: [
        ...inFlight.changed,
        ...inFlight.removed.map(entry => ({...entry, requests: 0})),
      ],
      spent: [...spent.changed],
      isStandby,
    });
  }

  /** The complete load as last reported, for a host that misses reports. */
  completeReport(): LoadReportMessage {
    return {
      kind: 'load_report',
      sequence: this.sequence,
      inFlight: [...this.inFlight.entries()],
      spent: [...this.options.rateLimiter.spending()],
      isStandby: !this.options.topology.isActive,
    };
  }
}
