import {
  admissionLevel,
  type AdmissionTerms,
  onTimeUntil,
} from './admission_level.ts';

/** A request in a {@link WaitingQueue}. */
export interface WaitingEntry {
  /** Service and team that the request belongs to, between which turns are shared. */
  readonly service: string;
  readonly team: string;
  readonly terms: AdmissionTerms;
}

/**
 * Reduction of the rank of a team that has all waiting requests of a service beside
 * others. As large as the reserves of patient and late requests, so that a burst of
 * one team goes behind the equally urgent requests of the others, but ahead of them
 * once it has become urgent.
 */
const TEAM_WEIGHT = 0.25;

/**
 * Requests of one host that wait for room on engines, in the order in which they get
 * it: by admission level, reduced for teams with more than an equal share of the
 * waiting requests. Since the level rises with the time, no request waits for ever.
 */
export class WaitingQueue<Entry extends WaitingEntry> {
  private readonly entries = new Set<Entry>();
  private readonly teams = new Map<string, Map<string, number>>();

  /** Number of waiting requests. */
  get size(): number {
    return this.entries.size;
  }

  /** Adds a request. */
  add(entry: Entry): void {
    if (this.entries.has(entry)) return;
    this.entries.add(entry);
    this.count(entry, 1);
  }

  /** Removes a request; returns false if it does not wait. */
  delete(entry: Entry): boolean {
    if (!this.entries.delete(entry)) return false;
    this.count(entry, -1);
    return true;
  }

  /** All requests in order of arrival in the queue. */
  all(): Iterable<Entry> {
    return this.entries;
  }

  /** All requests, the one that goes first at the front. */
  ordered(now: number): readonly Entry[] {
    return [...this.entries]
      .map(entry => ({
        entry,
        rank: admissionLevel(entry.terms, now) - this.reductionOf(entry),
        startBy: onTimeUntil(entry.terms),
      }))
      .sort(
        (left, right) => right.rank - left.rank || left.startBy - right.startBy,
      )
      .map(({entry}) => entry);
  }

  private reductionOf({service, team}: Entry): number {
    const teams = this.teams.get(service);
    if (teams === undefined || teams.size < 2) return 0;
    let waiting = 0;
    for (const count of teams.values()) waiting += count;
    const share = (teams.get(team) ?? 0) / waiting;
    return TEAM_WEIGHT * Math.max(0, share - 1 / teams.size);
  }

  private count({service, team}: Entry, change: 1 | -1): void {
    const teams = this.teams.get(service) ?? new Map<string, number>();
    const waiting = (teams.get(team) ?? 0) + change;
    if (waiting === 0) teams.delete(team);
    else teams.set(team, waiting);
    if (teams.size === 0) this.teams.delete(service);
    else this.teams.set(service, teams);
  }
}
