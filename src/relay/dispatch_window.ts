import type {RoutedRequest} from './endpoint_source.ts';
import type {RunDurations, RunOrigin} from './run_durations.ts';

/** A request with the times that limit it. */
type TimedRequest = RunOrigin & Pick<RoutedRequest, 'arrivedAt' | 'deadlineAt'>;

/** Options of {@link DispatchWindow}. */
export interface DispatchWindowOptions {
  /** Durations of whole runs. */
  runs: Pick<RunDurations, 'longest' | 'shortest' | 'typical'>;
  /** Durations from the dispatch of a stream to its first event. */
  firstEvents: Pick<RunDurations, 'typical'>;
}

/** Times at which a stopping host ends its work. */
export interface DispatchWindowEnd {
  /** Monotonic time from which no request is sent to an endpoint. */
  readonly closesAt: number;
  /** Monotonic time by which runs must have ended. */
  readonly runsEndAt: number;
}

/**
 * Until when requests are sent to endpoints: as long as a run can be expected to end
 * before its caller's deadline and before the host stops, and a stream to begin before
 * its caller disconnects.
 */
export class DispatchWindow {
  private end: DispatchWindowEnd = {
    closesAt: Number.POSITIVE_INFINITY,
    runsEndAt: Number.POSITIVE_INFINITY,
  };

  constructor(private readonly options: DispatchWindowOptions) {}

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
    return Math.min(closesAt, runsEndAt - this.options.runs.longest(request));
  }

  /** Milliseconds that a run is expected to take; 0 if that is not known. */
  expected(request: RunOrigin): number {
    return this.options.runs.typical(request);
  }

  /**
   * Monotonic time from which a request is not sent any more: no endpoint can finish it
   * by its deadline, or its caller will probably have left before its first event.
   */
  callerLimit(request: TimedRequest): number {
    const {runs, firstEvents} = this.options;
    const {arrivedAt, deadlineAt, route} = request;
    const patienceEndsAt = arrivedAt + route.callerTimeoutMilliseconds;
    return Math.min(
      deadlineAt - runs.shortest(request),
      patienceEndsAt - firstEvents.typical(request),
    );
  }
}
