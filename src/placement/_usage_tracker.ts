import type {Clock} from '../time/mod.ts';
import {IdleGapHistogram} from './idle_gap_histogram.ts';

interface FailureCount {
  count: number;
  until: number;
}

const INITIAL_BACKOFF_MILLISECONDS = 1000;
const MAXIMUM_BACKOFF_MILLISECONDS = 60_000;

/** Half of what a team received is forgotten after this time. */
const LOAD_TIME_HALF_LIFE_MILLISECONDS = 30_000;

/** What a holder learnt about the use of its targets since it started. */
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

  /** Gaps between uses of one target. */
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

  /** Records a failed load, so that the engine is avoided for a while. */
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

  /** Records that a target was loaded. */
  recordLoaded(target: string): void {
    this.failures.delete(target);
  }

  /** Engines to avoid for a target, with the time until which. */
  avoidedEngines(target: string): ReadonlyMap<string, number> {
    const byEndpoint = this.failures.get(target);
    if (byEndpoint === undefined) return new Map();
    return new Map([...byEndpoint].map(([name, {until}]) => [name, until]));
  }

  /** Adds load time that was spent for a team, divided by its weight. */
  addLoadTime(team: string, milliseconds: number): void {
    const now = this.clock.monotonicMilliseconds();
    const amount = this.recentLoadTimeOf(team, now) + milliseconds;
    this.loadTimeByTeam.set(team, {amount, at: now});
  }

  /** Load time that each team received lately. */
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
    const received = this.loadTimeByTeam.get(team);
    if (received === undefined) return 0;
    const halvings = (now - received.at) / LOAD_TIME_HALF_LIFE_MILLISECONDS;
    return received.amount * 0.5 ** halvings;
  }
}
