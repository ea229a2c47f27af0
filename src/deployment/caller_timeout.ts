/** Input of {@link callerTimeout}. */
export interface CallerTimeoutInput {
  readonly isStream: boolean;
  readonly timeoutMilliseconds: number;
  /** Latency objective of the route; 0 if it has none. */
  readonly objectiveMilliseconds: number;
  /**
   * Maximum desired pause between two stream events; 0 if none is configured.
   */
  readonly pauseMilliseconds: number;
}

// Callers disconnect from a stream that has been silent for the longest of these
// periods. The factors are those of the users' clients.
const MINIMUM_STREAM_TIMEOUT_MILLISECONDS = 2000;
const STREAM_OBJECTIVE_FACTOR = 4;
const STREAM_PAUSE_FACTOR = 8;

/** Milliseconds without a response or event after which callers disconnect. */
export function callerTimeout(input: CallerTimeoutInput): number {
  if (!input.isStream) return input.timeoutMilliseconds;
  return Math.max(
    MINIMUM_STREAM_TIMEOUT_MILLISECONDS,
    STREAM_OBJECTIVE_FACTOR * input.objectiveMilliseconds,
    STREAM_PAUSE_FACTOR * input.pauseMilliseconds,
  );
}
