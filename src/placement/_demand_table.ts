import type {PeerMessageOf} from '../peers/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {TeamDemand} from './pool_view.ts';

interface HostDemand {
  readonly receivedAt: number;
  readonly teams: readonly TeamDemand[];
}

/** Hosts repeat their reports several times within this time. */
const REPORT_EXPIRY_MILLISECONDS = 2000;

/** Demand of all hosts for the targets of one pool. */
export class DemandTable {
  /** By target, then host. */
  private readonly targets = new Map<string, Map<string, HostDemand>>();
  private readonly waitingSince = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /**
   * Replaces what one host said about one target.
   *
   * @returns Whether it may change a decision.
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
    const waits = this.demandFor(demand.target).some(
      ({waiting}) => waiting > 0,
    );
    if (waits && !this.waitingSince.has(demand.target)) {
      this.waitingSince.set(demand.target, now);
    }
    return !hasSameDemand(before, teams);
  }

  /** Forgets what a host said. */
  forgetHost(hostId: string): void {
    for (const hosts of this.targets.values()) hosts.delete(hostId);
  }

  /** Monotonic time since which a request waits; Infinity without one. */
  waitingSinceOf(target: string): number {
    return this.waitingSince.get(target) ?? Infinity;
  }

  /** Demand for one target by team, over all hosts that reported lately. */
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
