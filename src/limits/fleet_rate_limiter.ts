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
  /**
   * Returns the share of the rate that this host may use together with the hosts
   * whose reports it receives, 0 to 1.
   */
  rateShare: () => number;
  /**
   * Whether the deployment starts for the first time, so that buckets start
   * full.
   */
  startsFull: boolean;
  /** Whether the cost of requests that did not run is returned. @default false */
  refundsUnserved?: boolean;
}

/**
 * Time for which a cost can be returned. Later, the tokens would add to those that the
 * team has earned meanwhile: at most its rate over this time in any period.
 */
const REFUND_MILLISECONDS = 500;

interface TeamBucket {
  level: number;
  refilledAt: number;
  /** False until a restarted host has set the level from a peer's report. */
  isSynchronized: boolean;
}

/** Tokens spent by host process and team. */
type SpentByHost = Map<string, Map<string, number>>;

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
  private readonly peerSpent: SpentByHost = new Map();
  private readonly standbySpent: SpentByHost = new Map();
  private readonly digestSpent: SpentByHost = new Map();
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
    const wait = this.shortfall(team, cost);
    if (wait > 0) return wait;
    this.refill(team).level -= cost;
    this.spent.set(team.name, (this.spent.get(team.name) ?? 0) + cost);
    return 0;
  }

  /** What {@link take} would return; takes nothing. */
  shortfall(team: TeamConfiguration, cost: number): number {
    if (team.ratePerSecond <= 0) return 0;
    const bucket = this.refill(team);
    // A full bucket admits a request that costs more than the burst.
    const needed = Math.min(cost, team.burst);
    if (bucket.level >= needed) return 0;
    const rate = team.ratePerSecond * this.options.rateShare();
    const wait = ((needed - bucket.level) / rate) * 1000;
    return Math.min(MAXIMUM_WAIT_MILLISECONDS, Math.max(1, wait));
  }

  /**
   * Returns the cost of a request that no endpoint has run, if it was taken a moment
   * ago. The other hosts, which have debited it, leave out as much of what this host
   * spends next.
   *
   * Load condition: a team above its rate whose requests are also refused for want of
   * engines. Without refunds it gets less than its rate.
   */
  refund(team: TeamConfiguration, cost: number, takenAt: number): void {
    const {clock, refundsUnserved} = this.options;
    const elapsed = clock.monotonicMilliseconds() - takenAt;
    const spent = this.spent.get(team.name);
    if (refundsUnserved !== true || spent === undefined) return;
    if (team.ratePerSecond <= 0 || elapsed > REFUND_MILLISECONDS) return;
    const bucket = this.refill(team);
    bucket.level = Math.min(team.burst, bucket.level + cost);
    this.spent.set(team.name, Math.max(0, spent - cost));
  }

  /** Returns the spending of this host, to be reported to the other hosts. */
  spending(): readonly TeamSpending[] {
    return [...this.spent].map(([team, tokens]) => ({
      team,
      tokens,
      level: this.buckets.get(team)?.level ?? 0,
    }));
  }

  /** Returns the spending of all hosts, for hosts that get no other reports. */
  fleetSpending(): readonly TeamSpending[] {
    return [...this.terms.keys()].map(team => {
      let tokens = this.spent.get(team) ?? 0;
      for (const spent of this.peerSpent.values())
        tokens += spent.get(team) ?? 0;
      return {team, tokens, level: this.buckets.get(team)?.level ?? 0};
    });
  }

  /**
   * Debits what all hosts have spent since the previous digest, except for this
   * host's own spending.
   *
   * @param sender Process that sent the digest.
   */
  receiveDigest(sender: string, spending: readonly TeamSpending[]): void {
    this.debit(
      this.digestSpent,
      sender,
      spending.map(entry => ({
        ...entry,
        tokens: entry.tokens - (this.spent.get(entry.team) ?? 0),
      })),
    );
  }

  /**
   * Debits what a standby host has spent since its previous report, and reports
   * it to the other hosts as spent here.
   */
  receiveFromStandby(
    hostIncarnation: string,
    spending: readonly TeamSpending[],
  ): void {
    const debited = this.debit(this.standbySpent, hostIncarnation, spending);
    for (const [team, tokens] of debited) {
      this.spent.set(team, (this.spent.get(team) ?? 0) + tokens);
    }
  }

  /** Debits the tokens that a peer has spent since its previous report. */
  receive(hostIncarnation: string, spending: readonly TeamSpending[]): void {
    this.debit(this.peerSpent, hostIncarnation, spending);
  }

  /** Applies the teams of a configuration and keeps their existing buckets. */
  configure(teams: readonly TeamConfiguration[]): void {
    for (const team of teams) {
      const bucket = this.refill(team);
      bucket.level = Math.min(bucket.level, team.burst);
      this.terms.set(team.name, team);
    }
  }

  /** @returns The tokens debited for each team. */
  private debit(
    spent: SpentByHost,
    hostIncarnation: string,
    spending: readonly TeamSpending[],
  ): ReadonlyMap<string, number> {
    const known = spent.get(hostIncarnation);
    const previous = known ?? new Map<string, number>();
    spent.set(hostIncarnation, previous);
    const debited = new Map<string, number>();
    for (const {team, tokens, level} of spending) {
      const delta = Math.max(0, tokens - (previous.get(team) ?? 0));
      // A count falls for a moment when a digest does not yet contain what this
      // host has spent; it is not debited again when it rises.
      previous.set(team, Math.max(previous.get(team) ?? 0, tokens));
      const terms = this.terms.get(team);
      if (terms === undefined) continue;
      const bucket = this.refill(terms);
      if (!bucket.isSynchronized) {
        bucket.level = Math.max(bucket.level, level);
        bucket.isSynchronized = true;
      } else if (known !== undefined) {
        bucket.level -= delta;
        debited.set(team, delta);
      }
    }
    return debited;
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
      (team.ratePerSecond *
        this.options.rateShare() *
        (now - bucket.refilledAt)) /
      1000;
    bucket.refilledAt = now;
    bucket.level = Math.min(team.burst, bucket.level + earned);
    return bucket;
  }
}
