import type {Clock} from '../time/mod.ts';
import {IdleGapHistogram} from './idle_gap_histogram.ts';

interface FailureCount {
  count: number;
  until: number;
}

const INITIAL_BACKOFF_MILLISECONDS = 1000;
const MAXIMUM_BACKOFF_MILLISECONDS = 60_000;

/** Half-life of the load time charged to a team. */
const LOAD_TIME_HALF_LIFE_MILLISECONDS = 30_000;

/**
 * Observations of a controller since it started: when targets were used, which
 * loads failed, and how much load time was charged to each team.
 */
export class UsageTracker {
  private readonly histories = new Map<string, IdleGapHistogram>();
  private readonly inUse = new Set<string>();
  /** By target, then endpoint. */
  private readonly failures = new Map<string, Map<string, FailureCount>>();
  private readonly loadTimeByTeam = new Map<
    string,
    {amount: number; at: number}
  >();

  constructor(private readonly clock: Clock) {}

  /** Histogram of the idle times between uses of one target. */
  historyOf(target: string): IdleGapHistogram {
    let history = this.histories.get(target);
    if (history === undefined) {
      history = new IdleGapHistogram();
      this.histories.set(target, history);
    }
    return history;
  }

  /** Records whether a target is in use now. */
  observe(target: string, busy: boolean): void {
    const now = this.clock.monotonicMilliseconds();
    if (!busy) {
      if (this.inUse.delete(target)) this.historyOf(target).extendUse(now);
      return;
    }
    if (this.inUse.has(target)) this.historyOf(target).extendUse(now);
    else this.historyOf(target).recordUse(now);
    this.inUse.add(target);
  }

  /**
   * Records a failed load. The engine is avoided for the target for 1 s, and
   * for twice as long after each further failure, up to 1 min.
   */
  recordLoadFailure(target: string, endpoint: string): void {
    const now = this.clock.monotonicMilliseconds();
    const byEndpoint =
      this.failures.get(target) ?? new Map<string, FailureCount>();
    this.failures.set(target, byEndpoint);
    const count = (byEndpoint.get(endpoint)?.count ?? 0) + 1;
    const backoff = Math.min(
      MAXIMUM_BACKOFF_MILLISECONDS,
      INITIAL_BACKOFF_MILLISECONDS * 2 ** (count - 1),
    );
    byEndpoint.set(endpoint, {count, until: now + backoff});
  }

  /** Records a successful load, which ends all backoffs of the target. */
  recordLoaded(target: string): void {
    this.failures.delete(target);
  }

  /** Engines to avoid for a target, each with the time at which that ends. */
  avoidedEngines(target: string): ReadonlyMap<string, number> {
    const byEndpoint = this.failures.get(target);
    if (byEndpoint === undefined) return new Map();
    return new Map([...byEndpoint].map(([name, {until}]) => [name, until]));
  }

  /** Charges load time, already divided by the team's weight, to a team. */
  addLoadTime(team: string, milliseconds: number): void {
    const now = this.clock.monotonicMilliseconds();
    const amount = this.recentLoadTimeOf(team, now) + milliseconds;
    this.loadTimeByTeam.set(team, {amount, at: now});
  }

  /** Load time charged to each team, decayed by its age. */
  recentLoadTimeByTeam(): ReadonlyMap<string, number> {
    const now = this.clock.monotonicMilliseconds();
    return new Map(
      [...this.loadTimeByTeam.keys()].map(team => [
        team,
        this.recentLoadTimeOf(team, now),
      ]),
    );
  }

  private recentLoadTimeOf(team: string, now: number): number {
    const charged = this.loadTimeByTeam.get(team);
    if (charged === undefined) return 0;
    const halvings = (now - charged.at) / LOAD_TIME_HALF_LIFE_MILLISECONDS;
    return charged.amount * 0.5 ** halvings;
  }
}
