import type {TeamConfiguration} from '../deployment/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Tokens of a team that a host has spent. */
export interface TeamSpending {
  readonly team: string;
  /** Tokens spent on this host since its start. */
  readonly tokens: number;
  /** Tokens left for all hosts according to this host's bucket. */
  readonly level: number;
}

/** Options of {@link FleetRateLimiter}. */
export interface FleetRateLimiterOptions {
  clock: Clock;
  /** Returns the number of hosts that may spend tokens, including this one. */
  hosts: () => number;
  /**
   * Returns the number of hosts whose reports arrive at present, including this
   * one.
   */
  connectedHosts: () => number;
  /**
   * Whether the deployment starts for the first time, so that buckets start
   * full.
   */
  startsFull: boolean;
}

interface TeamBucket {
  level: number;
  refilledAt: number;
  /** False until a restarted host has set the level from a peer's report. */
  isSynchronized: boolean;
}

/** Longest retry time that is returned to a refused caller. */
const MAXIMUM_WAIT_MILLISECONDS = 10_000;

/**
 * Enforces the rate of each team across all hosts, including when one team
 * sends many times its rate through all hosts at once.
 *
 * Each host keeps its own bucket per team and debits the spending that the
 * other hosts report within a fraction of a second. A host that receives no
 * reports from some hosts assumes that these spend an equal share of the rate,
 * so that partitioned hosts together stay within the rate.
 */
export class FleetRateLimiter {
  private readonly buckets = new Map<string, TeamBucket>();
  private readonly spent = new Map<string, number>();
  private readonly peerSpent = new Map<string, Map<string, number>>();
  private readonly terms = new Map<string, TeamConfiguration>();

  constructor(private readonly options: FleetRateLimiterOptions) {}

  /**
   * Takes the cost of a request from the team's bucket.
   *
   * @returns 0 if it was taken, otherwise the estimated milliseconds until the
   *   bucket can cover it.
   */
  take(team: TeamConfiguration, cost: number): number {
    if (team.ratePerSecond <= 0) return 0;
    const bucket = this.refill(team);
    // A full bucket admits a request that costs more than the burst.
    const needed = Math.min(cost, team.burst);
    if (bucket.level < needed) {
      const rate = team.ratePerSecond * this.rateShare();
      const wait = ((needed - bucket.level) / rate) * 1000;
      return Math.min(MAXIMUM_WAIT_MILLISECONDS, Math.max(1, wait));
    }
    bucket.level -= cost;
    this.spent.set(team.name, (this.spent.get(team.name) ?? 0) + cost);
    return 0;
  }

  /** Returns the spending of this host, to be reported to the other hosts. */
  spending(): readonly TeamSpending[] {
    return [...this.spent].map(([team, tokens]) => ({
      team,
      tokens,
      level: this.buckets.get(team)?.level ?? 0,
    }));
  }

  /** Debits the tokens that a peer has spent since its previous report. */
  receive(hostIncarnation: string, spending: readonly TeamSpending[]): void {
    const known = this.peerSpent.get(hostIncarnation);
    const previous = known ?? new Map<string, number>();
    this.peerSpent.set(hostIncarnation, previous);
    for (const {team, tokens, level} of spending) {
      const delta = tokens - (previous.get(team) ?? 0);
      previous.set(team, tokens);
      const terms = this.terms.get(team);
      if (terms === undefined) continue;
      const bucket = this.refill(terms);
      if (!bucket.isSynchronized) {
        bucket.level = Math.max(bucket.level, level);
        bucket.isSynchronized = true;
      } else if (known !== undefined) {
        bucket.level -= Math.max(0, delta);
      }
    }
  }

  /** Applies the teams of a configuration and keeps their existing buckets. */
  configure(teams: readonly TeamConfiguration[]): void {
    for (const team of teams) {
      const bucket = this.refill(team);
      bucket.level = Math.min(bucket.level, team.burst);
      this.terms.set(team.name, team);
    }
  }

  private refill(team: TeamConfiguration): TeamBucket {
    const now = this.options.clock.monotonicMilliseconds();
    let bucket = this.buckets.get(team.name);
    if (bucket === undefined) {
      const {startsFull} = this.options;
      bucket = {
        level: startsFull ? team.burst : 0,
        refilledAt: now,
        isSynchronized: startsFull,
      };
      this.buckets.set(team.name, bucket);
    }
    const earned =
      (team.ratePerSecond * this.rateShare() * (now - bucket.refilledAt)) /
      1000;
    bucket.refilledAt = now;
    bucket.level = Math.min(team.burst, bucket.level + earned);
    return bucket;
  }

  /** Fraction of the rate that the connected hosts may use together. */
  private rateShare(): number {
    const hosts = Math.max(1, this.options.hosts());
    return Math.min(1, Math.max(1, this.options.connectedHosts()) / hosts);
  }
}
