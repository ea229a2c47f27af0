import type {PeerMessageOf} from '../peers/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {TeamDemand} from './pool_view.ts';

interface HostDemand {
  readonly receivedAt: number;
  readonly teams: readonly TeamDemand[];
}

/**
 * Age at which a host's report is discarded. Hosts repeat their reports several
 * times within it.
 */
const REPORT_EXPIRY_MILLISECONDS = 2000;

/** Demand for the targets of one pool, as all hosts report it. */
export class DemandTable {
  /** By target, then host. */
  private readonly targets = new Map<string, Map<string, HostDemand>>();
  private readonly waitingSince = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /**
   * Replaces one host's report on one target.
   *
   * @returns Whether the demand changed in a way that may affect a decision.
   */
  applyReport(hostId: string, demand: PeerMessageOf<'demand'>): boolean {
    const now = this.clock.monotonicMilliseconds();
    let hosts = this.targets.get(demand.target);
    if (hosts === undefined) {
      hosts = new Map();
      this.targets.set(demand.target, hosts);
    }
    const before = hosts.get(hostId)?.teams ?? [];
    let teams: readonly TeamDemand[] = [];
    if (demand.teams.length === 0) {
      hosts.delete(hostId);
    } else {
      teams = demand.teams.map(team => ({
        team: team.team,
        waiting: team.waiting,
        deadlineAt:
          team.waiting === 0 ? Infinity : now + team.deadlineInMilliseconds,
        inFlight: team.inFlight,
      }));
      hosts.set(hostId, {receivedAt: now, teams});
    }
    const isWaiting = this.demandFor(demand.target).some(
      ({waiting}) => waiting > 0,
    );
    if (isWaiting && !this.waitingSince.has(demand.target)) {
      this.waitingSince.set(demand.target, now);
    }
    return !hasSameDemand(before, teams);
  }

  /** Discards all reports of a host. */
  forgetHost(hostId: string): void {
    for (const hosts of this.targets.values()) hosts.delete(hostId);
  }

  /** Monotonic time since which requests wait; Infinity when none waits. */
  waitingSinceOf(target: string): number {
    return this.waitingSince.get(target) ?? Infinity;
  }

  /** Demand for one target by team, summed over hosts with a recent report. */
  demandFor(target: string): readonly TeamDemand[] {
    const hosts = this.targets.get(target);
    if (hosts === undefined) return [];
    const oldest =
      this.clock.monotonicMilliseconds() - REPORT_EXPIRY_MILLISECONDS;
    const byTeam = new Map<string, TeamDemand>();
    for (const [hostId, {receivedAt, teams}] of hosts) {
      if (receivedAt < oldest) {
        hosts.delete(hostId);
        continue;
      }
      for (const demand of teams) {
        const known = byTeam.get(demand.team);
        byTeam.set(
          demand.team,
          known === undefined ? demand : add(known, demand),
        );
      }
    }
    const result = [...byTeam.values()];
    if (result.every(({waiting}) => waiting === 0)) {
      this.waitingSince.delete(target);
    }
    return result;
  }
}

function add(first: TeamDemand, second: TeamDemand): TeamDemand {
  return {
    team: first.team,
    waiting: first.waiting + second.waiting,
    deadlineAt: Math.min(first.deadlineAt, second.deadlineAt),
    inFlight: first.inFlight + second.inFlight,
  };
}

function hasSameDemand(
  first: readonly TeamDemand[],
  second: readonly TeamDemand[],
): boolean {
  if (first.length !== second.length) return false;
  return first.every((demand, index) => {
    const other = second[index]!;
    return (
      demand.team === other.team &&
      demand.waiting === other.waiting &&
      demand.inFlight === other.inFlight
    );
  });
}
