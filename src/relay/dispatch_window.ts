import type {RunDurations, RunOrigin} from './run_durations.ts';

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
   * Monotonic time from which a request is left to other hosts; Infinity unless this
   * host stops.
   */
  hostLimit(request: RunOrigin): number {
    const {closesAt, runsEndAt} = this.end;
    return Math.min(closesAt, runsEndAt - this.durations.longest(request));
  }

  /** Milliseconds that a run is expected to take; 0 if that is not known. */
  expected(request: RunOrigin): number {
    return this.durations.typical(request);
  }

  /** Monotonic time from which no endpoint can finish a request by its deadline. */
  deadlineLimit(request: RunOrigin & {readonly deadlineAt: number}): number {
    return request.deadlineAt - this.durations.shortest(request);
  }
}
