import type {PeerMessageOf} from '../peers/mod.ts';
import type {ReplicaRequest} from './replica_source.ts';

type Demand = PeerMessageOf<'demand'>;

interface TeamDemand {
  readonly deadlines: Map<object, number>;
  inFlight: number;
  arrivals: number;
}

/** Tracks this host's demand for each target by team, and builds reports. */
export class DemandTracker {
  private readonly targets = new Map<string, Map<string, TeamDemand>>();
  /** Targets whose last report was not empty. */
  private readonly reported = new Set<string>();

  /** Counts the arrival of a request. */
  recordArrival(request: ReplicaRequest): void {
    this.teamOf(request).arrivals++;
  }

  /** Counts a request as waiting until the returned function is called. */
  trackWaiting(request: ReplicaRequest): () => void {
    const {deadlines} = this.teamOf(request);
    const key = {};
    deadlines.set(key, request.deadlineAt);
    return () => {
      deadlines.delete(key);
    };
  }

  /** Counts a request as in flight until the returned function is called. */
  trackInFlight(request: ReplicaRequest): () => void {
    const team = this.teamOf(request);
    team.inFlight++;
    return () => {
      team.inFlight--;
    };
  }

  /** Targets whose demand must be reported. */
  reportableTargets(): readonly string[] {
    return [...this.targets.keys()];
  }

  /**
   * Builds the report for one target and resets its arrival count. Returns
   * undefined when the demand is empty and has been reported as empty.
   */
  takeReport(target: string, now: number): Demand | undefined {
    const teams = this.targets.get(target);
    if (teams === undefined) return undefined;
    const report: Demand['teams'] = [];
    for (const [team, demand] of teams) {
      const {deadlines, inFlight, arrivals} = demand;
      if (deadlines.size === 0 && inFlight === 0 && arrivals === 0) {
        teams.delete(team);
        continue;
      }
      const earliest = Math.min(...deadlines.values());
      report.push({
        team,
        waiting: deadlines.size,
        deadlineInMilliseconds: deadlines.size === 0 ? 0 : earliest - now,
        inFlight,
        arrivals,
      });
      demand.arrivals = 0;
    }
    if (report.length > 0) {
      this.reported.add(target);
    } else {
      this.targets.delete(target);
      if (!this.reported.delete(target)) return undefined;
    }
    return {kind: 'demand', target, teams: report};
  }

  private teamOf({target, team}: ReplicaRequest): TeamDemand {
    let teams = this.targets.get(target);
    if (teams === undefined) {
      teams = new Map();
      this.targets.set(target, teams);
    }
    let demand = teams.get(team);
    if (demand === undefined) {
      demand = {deadlines: new Map(), inFlight: 0, arrivals: 0};
      teams.set(team, demand);
    }
    return demand;
  }
}
