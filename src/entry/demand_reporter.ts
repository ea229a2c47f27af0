import {
  type ArrivalCount,
  arrivalKey,
  type FleetLoad,
  type FleetTopology,
  hasChanges,
  StateTracker,
  type WaitingCount,
  waitingKey,
} from '../fleet/mod.ts';
import type {PeerMessageOf} from '../peers/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Options of {@link DemandReporter}. */
export interface DemandReporterOptions {
  clock: Clock;
  topology: Pick<FleetTopology, 'upstream'>;
  load: FleetLoad;
  /** Sends a report to one host. */
  send: (hostId: string, report: PeerMessageOf<'demand_report'>) => void;
}

/** Minimum interval between reports, however often the demand changes. */
const MINIMUM_INTERVAL_MILLISECONDS = 50;

/** Interval between unchanged reports, which show that earlier demand still holds. */
const IDLE_INTERVAL_MILLISECONDS = 1000;

/** Interval between counts of arrivals, which are only used to compute rates. */
const ARRIVAL_INTERVAL_MILLISECONDS = 1000;

/**
 * Time since the last announcement of a pool's manager after which it gets no more
 * reports.
 */
const MANAGER_LIFETIME_MILLISECONDS = 3000;

/** Difference of two waiting times that is not reported. */
const WAIT_TOLERANCE_MILLISECONDS = 100;

/** A waiting target with the time since which its oldest request waits. */
interface TimedWaiting {
  readonly entry: WaitingCount;
  readonly since: number;
}

/** What one host has been told. */
class Recipient {
  /** Number of the last report to it; undefined before the first one. */
  sequence: number | undefined;
  reportedAt = Number.NEGATIVE_INFINITY;
  arrivalsReportedAt = Number.NEGATIVE_INFINITY;
  readonly waiting = new StateTracker<TimedWaiting>({
    keyOf: ({entry}) => waitingKey(entry),
    isSame: (reported, current) =>
      reported.entry.requests === current.entry.requests &&
      reported.entry.timely === current.entry.timely &&
      reported.entry.priority === current.entry.priority &&
      reported.entry.isHeld === current.entry.isHeld &&
      reported.entry.isServable === current.entry.isServable &&
      Math.abs(reported.since - current.since) <= WAIT_TOLERANCE_MILLISECONDS,
  });
  readonly arrivals = new StateTracker<ArrivalCount>({
    keyOf: arrivalKey,
    isSame: (reported, current) => reported.requests === current.requests,
  });
}

/**
 * Reports the demand of this host to the hosts that manage pools, which alone need
 * it; a standby host reports to its upstream host.
 */
export class DemandReporter {
  private readonly recipients = new Map<string, Recipient>();
  /** Host from which the announcements of each pool come, and when the last one came. */
  private readonly managers = new Map<
    string,
    {hostId: string; heardAt: number}
  >();
  /** Number of the last report to any host. */
  private sequence = 0;
  private isScheduled = false;
  private reportedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: DemandReporterOptions) {}

  /** Records the peer from which the announcements of a pool come. */
  recordManager(service: string, hostId: string): void {
    const heardAt = this.now();
    const isNew = this.managers.get(service)?.hostId !== hostId;
    this.managers.set(service, {hostId, heardAt});
    if (isNew) this.reportSoon();
  }

  /** Makes the next report to a host complete, and sends it soon. */
  resend(hostId: string): void {
    if (!this.recipients.delete(hostId)) return;
    this.reportSoon();
  }

  /** Forgets a host whose connection has closed. */
  removeHost(hostId: string): void {
    this.recipients.delete(hostId);
  }

  /**
   * Sends a report soon, because the demand has changed. Many requests at once
   * share one report.
   */
  reportSoon(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    const dueIn = this.reportedAt + MINIMUM_INTERVAL_MILLISECONDS - this.now();
    this.options.clock.startTimer(Math.max(0, dueIn), () => {
      this.isScheduled = false;
      this.report();
    });
  }

  /** Sends what has changed, or a heartbeat when the interval has passed. */
  report(): void {
    this.reportedAt = this.now();
    const hostIds = this.recipientIds();
    for (const hostId of this.recipients.keys()) {
      if (!hostIds.has(hostId)) this.recipients.delete(hostId);
    }
    for (const hostId of hostIds) this.reportTo(hostId);
  }

  private reportTo(hostId: string): void {
    const {load} = this.options;
    const now = this.now();
    const recipient = this.recipients.get(hostId) ?? new Recipient();
    this.recipients.set(hostId, recipient);
    // A manager that is a standby host gets no reports of other hosts.
    const isStandbyHost = load.standbyHosts().includes(hostId);
    const all = isStandbyHost ? load.allWaiting() : load.combinedWaiting();
    const waiting = recipient.waiting.update(
      all.map(entry => ({entry, since: waitingSince(entry, now)})),
    );
    const arrivals = this.changedArrivals(recipient, isStandbyHost);
    const isDue = now - recipient.reportedAt >= IDLE_INTERVAL_MILLISECONDS;
    if (!hasChanges(waiting) && arrivals.length === 0 && !isDue) return;
    recipient.reportedAt = now;
    const afterSequence = recipient.sequence;
    recipient.sequence = ++this.sequence;
    this.options.send(hostId, {
      kind: 'demand_report',
      sequence: recipient.sequence,
      ...(afterSequence === undefined ? {} : {afterSequence}),
      waiting: [
        ...waiting.changed.map(({entry}) => ({
          ...entry,
          waitedMilliseconds: Math.round(entry.waitedMilliseconds),
        })),
        ...waiting.removed.map(({entry}) => ({...entry, requests: 0})),
      ],
      arrivals: [...arrivals],
    });
  }

  private changedArrivals(
    recipient: Recipient,
    isStandbyHost: boolean,
  ): readonly ArrivalCount[] {
    const {load} = this.options;
    const now = this.now();
    const isDue =
      now - recipient.arrivalsReportedAt >= ARRIVAL_INTERVAL_MILLISECONDS;
    if (!isDue) return [];
    recipient.arrivalsReportedAt = now;
    const arrivals = isStandbyHost
      ? load.allArrivals()
      : load.combinedArrivals();
    return recipient.arrivals.update(arrivals).changed;
  }

  /** Hosts that manage a pool; the upstream host of a standby host. */
  private recipientIds(): ReadonlySet<string> {
    const {upstream} = this.options.topology;
    if (upstream !== undefined) return new Set([upstream]);
    const now = this.now();
    return new Set(
      [...this.managers.values()]
        .filter(({heardAt}) => now - heardAt <= MANAGER_LIFETIME_MILLISECONDS)
        .map(({hostId}) => hostId),
    );
  }

  private now(): number {
    return this.options.clock.monotonicMilliseconds();
  }
}

/** Time from which a request waits; 0 if none is held. */
function waitingSince(
  {isHeld, waitedMilliseconds}: WaitingCount,
  now: number,
): number {
  return isHeld ? now - waitedMilliseconds : 0;
}
