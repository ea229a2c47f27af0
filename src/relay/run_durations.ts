import type {Clock} from '../time/mod.ts';
import type {RoutedRequest} from './endpoint_source.ts';

/** What a run belongs to: a route and the service that its requests go to. */
export type RunOrigin = Pick<RoutedRequest, 'route' | 'service'>;

interface Run {
  readonly endedAt: number;
  readonly milliseconds: number;
}

/** Runs that are remembered for each origin. */
const REMEMBERED_RUNS = 64;

/**
 * Time for which a run is remembered. Requests that are refused because of earlier runs
 * add no new ones, so that a service that has become faster is found out only then.
 */
const REMEMBERED_MILLISECONDS = 10_000;

/** Number of runs below which nothing is concluded from them. */
const MINIMUM_RUNS = 8;

/** Share of the runs that are shorter than the shortest time that is expected. */
const SHORTEST_SHARE = 0.05;

/** Share of the runs that are shorter than a typical one. */
const TYPICAL_SHARE = 0.5;

/** Share of the runs that are not longer than the longest time that is expected. */
const LONGEST_SHARE = 0.95;

/** Durations of the latest successful runs on endpoints. */
export class RunDurations {
  private readonly runs = new Map<string, Run[]>();

  constructor(private readonly clock: Clock) {}

  /** Records a run that has ended now. */
  record(origin: RunOrigin, milliseconds: number): void {
    const key = keyOf(origin);
    const runs = this.recent(key);
    const endedAt = this.clock.monotonicMilliseconds();
    runs.push({endedAt, milliseconds});
    this.runs.set(key, runs.slice(-REMEMBERED_RUNS));
  }

  /** Milliseconds that a run takes at least; 0 if that is not known. */
  shortest(origin: RunOrigin): number {
    return this.quantile(origin, SHORTEST_SHARE);
  }

  /** Milliseconds that half of the runs take at most; 0 if that is not known. */
  typical(origin: RunOrigin): number {
    return this.quantile(origin, TYPICAL_SHARE);
  }

  /** Milliseconds within which nearly all runs end; 0 if that is not known. */
  longest(origin: RunOrigin): number {
    return this.quantile(origin, LONGEST_SHARE);
  }

  private quantile(origin: RunOrigin, share: number): number {
    const runs = this.recent(keyOf(origin));
    if (runs.length < MINIMUM_RUNS) return 0;
    const sorted = runs
      .map(({milliseconds}) => milliseconds)
      .sort((left, right) => left - right);
    return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
  }

  private recent(key: string): Run[] {
    const oldest = this.clock.monotonicMilliseconds() - REMEMBERED_MILLISECONDS;
    return (this.runs.get(key) ?? []).filter(({endedAt}) => endedAt >= oldest);
  }
}

function keyOf({route, service}: RunOrigin): string {
  return `${route.name} ${service.name}`;
}
