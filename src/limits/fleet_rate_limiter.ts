import type {TeamConfiguration} from '../deployment/mod.ts';
import type {Clock} from '../time/mod.ts';

/** What a host has spent of a team's tokens. */
export interface TeamSpending {
  readonly team: string;
  /** Tokens spent on this host since its start. */
  readonly tokens: number;
  /** Tokens that the host believes to be left for the whole fleet. */
  readonly level: number;
}

/** Options of {@link FleetRateLimiter}. */
export interface FleetRateLimiterOptions {
  clock: Clock;
  /** Hosts that may spend tokens, this one included. */
  hosts: () => number;
  /** Hosts whose spending is known at present, this one included. */
  connectedHosts: () => number;
  /** Whether the deployment starts for the first time, so that bursts are whole. */
  startsFull: boolean;
}

interface TeamBucket {
  level: number;
  refilledAt: number;
  /** Whether the level has been compared with a peer's since the start. */
  isSynchronized: boolean;
}

/** Longest wait that a refused caller is told. */
const MAXIMUM_WAIT_MILLISECONDS = 10_000;

/**
 * Holds teams to their rates over all hosts. Each host spends from a bucket of
 * its own view and debits what the others report within a fraction of a
 * second. A host that does not hear from some of the others assumes that they
 * spend their even share, so that hosts which are cut off from each other stay
 * within the rate together. Answers the pattern in which one team sends many
 * times its rate through all hosts at once.
 */
export class FleetRateLimiter {
  private readonly buckets = new Map<string, TeamBucket>();
  private readonly spent = new Map<string, number>();
  private readonly peerSpent = new Map<string, Map<string, number>>();
  private readonly terms = new Map<string, TeamConfiguration>();

  constructor(private readonly options: FleetRateLimiterOptions) {}

  /**
   * Takes the cost of a request.
   *
   * @returns 0 when it was taken, else milliseconds until it may be there.
   */
  take(team: TeamConfiguration, cost: number): number {
    if (team.ratePerSecond <= 0) return 0;
    const bucket = this.refill(team);
    // A request that costs more than the burst is admitted by a full bucket.
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

  /** What this host has spent, for the other hosts. */
  spending(): readonly TeamSpending[] {
    return [...this.spent].map(([team, tokens]) => ({
      team,
      tokens,
      level: this.buckets.get(team)?.level ?? 0,
    }));
  }

  /** Debits what a peer has spent since its last report. */
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

  /** Takes the teams of a configuration; their buckets go on. */
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

  /** Share of the rate that hosts with known spending may use. */
  private rateShare(): number {
    const hosts = Math.max(1, this.options.hosts());
    return Math.min(1, Math.max(1, this.options.connectedHosts()) / hosts);
  }
}
