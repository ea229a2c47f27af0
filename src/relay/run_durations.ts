/** Runs that are remembered for each route. */
const REMEMBERED_RUNS = 64;

/** Number of runs of a route below which nothing is concluded from them. */
const MINIMUM_RUNS = 8;

/** Share of the runs that are shorter than the shortest time that is expected. */
const SHORTEST_SHARE = 0.05;

/** Share of the runs that are not longer than the longest time that is expected. */
const LONGEST_SHARE = 0.95;

/** Durations of the latest successful runs on endpoints, by route. */
export class RunDurations {
  private readonly runs = new Map<string, number[]>();

  /** Records a run from its dispatch to the end of its response. */
  record(route: string, milliseconds: number): void {
    let runs = this.runs.get(route);
    if (runs === undefined) {
      runs = [];
      this.runs.set(route, runs);
    }
    runs.push(milliseconds);
    if (runs.length > REMEMBERED_RUNS) runs.shift();
  }

  /** Milliseconds that a run takes at least; 0 if that is not known. */
  shortest(route: string): number {
    return this.quantile(route, SHORTEST_SHARE);
  }

  /** Milliseconds within which nearly all runs end; 0 if that is not known. */
  longest(route: string): number {
    return this.quantile(route, LONGEST_SHARE);
  }

  private quantile(route: string, share: number): number {
    const runs = this.runs.get(route) ?? [];
    if (runs.length < MINIMUM_RUNS) return 0;
    const sorted = [...runs].sort((left, right) => left - right);
    return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
  }
}
