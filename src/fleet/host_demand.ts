import type {ArrivalCount, WaitingCount} from './load_report.ts';

/** Content of a report of a host's demand. */
export interface DemandChange {
  readonly waiting: readonly WaitingCount[];
  readonly arrivals: readonly ArrivalCount[];
  /** Whether the report contains all that the host knows. */
  readonly isComplete: boolean;
}

/** Requests waiting for one target, summed over hosts. */
export interface WaitingTarget extends WaitingCount {
  requests: number;
  /**
   * Requests that can still meet their latency objective after a load from
   * disk.
   */
  timely: number;
  /** Priority of the most urgent request; 0 is the most urgent. */
  priority: number;
  isHeld: boolean;
  isServable: boolean;
  waitedMilliseconds: number;
}

/** Requests for one model, as a host has reported them. */
interface CountedArrivals {
  readonly reported: ArrivalCount;
  /** Those since this host learned of the count. */
  readonly counted: number;
}

interface TimedWaiting {
  readonly entry: WaitingCount;
  readonly receivedAt: number;
}

/** Demand of one host, kept from its reports. */
export class HostDemand {
  private readonly waitingByKey = new Map<string, TimedWaiting>();
  private readonly arrivalsByKey = new Map<string, CountedArrivals>();

  /** Applies a report; a complete one replaces the waiting requests. */
  apply({waiting, arrivals, isComplete}: DemandChange, now: number): void {
    if (isComplete) this.waitingByKey.clear();
    for (const entry of waiting) {
      const key = waitingKey(entry);
      if (entry.requests === 0) this.waitingByKey.delete(key);
      else this.waitingByKey.set(key, {entry, receivedAt: now});
    }
    for (const reported of arrivals) {
      const key = arrivalKey(reported);
      const known = this.arrivalsByKey.get(key);
      // The first complete report counts requests that arrived long ago.
      const before =
        known?.reported.requests ?? (isComplete ? reported.requests : 0);
      const added = Math.max(0, reported.requests - before);
      const counted = (known?.counted ?? 0) + added;
      this.arrivalsByKey.set(key, {reported, counted});
    }
  }

  /** Waiting requests, aged by the time since they were reported. */
  waiting(now: number): readonly WaitingCount[] {
    return [...this.waitingByKey.values()].map(({entry, receivedAt}) => ({
      ...entry,
      waitedMilliseconds: entry.isHeld
        ? entry.waitedMilliseconds + now - receivedAt
        : entry.waitedMilliseconds,
    }));
  }

  /** Requests for each model since this host has got reports of them. */
  arrivals(): readonly ArrivalCount[] {
    return [...this.arrivalsByKey.values()].map(({reported, counted}) => ({
      ...reported,
      requests: counted,
    }));
  }
}

/** Identity of a waiting target. */
export function waitingKey({service, target}: WaitingCount): string {
  return `${service} ${target}`;
}

/** Identity of a counted model. */
export function arrivalKey({service, model}: ArrivalCount): string {
  return `${service} ${model}`;
}

/** Sums the waiting requests of several hosts by target. */
export function sumWaiting(
  entries: Iterable<WaitingCount>,
): readonly WaitingTarget[] {
  const sums = new Map<string, WaitingTarget>();
  for (const entry of entries) {
    const key = waitingKey(entry);
    const sum = sums.get(key);
    if (sum === undefined) {
      sums.set(key, {...entry});
      continue;
    }
    sum.requests += entry.requests;
    sum.timely += entry.timely;
    sum.priority = Math.min(sum.priority, entry.priority);
    sum.isHeld ||= entry.isHeld;
    sum.isServable &&= entry.isServable;
    sum.waitedMilliseconds = Math.max(
      sum.waitedMilliseconds,
      entry.waitedMilliseconds,
    );
  }
  return [...sums.values()];
}

/** Sums the requests of several hosts by model. */
export function sumArrivals(
  entries: Iterable<ArrivalCount>,
): readonly ArrivalCount[] {
  const sums = new Map<string, ArrivalCount>();
  for (const arrival of entries) {
    const key = arrivalKey(arrival);
    const requests = (sums.get(key)?.requests ?? 0) + arrival.requests;
    sums.set(key, {...arrival, requests});
  }
  return [...sums.values()];
}
