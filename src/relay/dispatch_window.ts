import type {RunDurations} from './run_durations.ts';

/** Times at which a stopping host ends its work. */
export interface DispatchWindowEnd {
  /** Monotonic time from which no request is sent to an endpoint. */
  readonly closesAt: number;
  /** Monotonic time by which runs must have ended. */
  readonly runsEndAt: number;
}

/**
 * Until when requests are sent to endpoints: as long as a run can be expected to end
 * before its caller's deadline and before the host stops.
 */
export class DispatchWindow {
  private end: DispatchWindowEnd = {
    closesAt: Number.POSITIVE_INFINITY,
    runsEndAt: Number.POSITIVE_INFINITY,
  };

  constructor(private readonly durations: RunDurations) {}

  /** Closes the window, because the host stops. */
  close(end: DispatchWindowEnd): void {
    this.end = end;
  }

  /**
   * Monotonic time from which requests of a route are left to other hosts; Infinity
   * unless this host stops.
   */
  hostLimit(route: string): number {
    const {closesAt, runsEndAt} = this.end;
    return Math.min(closesAt, runsEndAt - this.durations.longest(route));
  }

  /** Monotonic time from which no endpoint can finish a request by its deadline. */
  deadlineLimit(route: string, deadlineAt: number): number {
    return deadlineAt - this.durations.shortest(route);
  }
}
