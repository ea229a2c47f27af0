/** Input of {@link callerTimeout}. */
export interface CallerTimeoutInput {
  readonly isStream: boolean;
  readonly timeoutMilliseconds: number;
  /** Time within which an answer is worth most; 0 when the route names none. */
  readonly objectiveMilliseconds: number;
  /** Longest pause between two events that is wanted; 0 when none is named. */
  readonly pauseMilliseconds: number;
}

// Callers leave a stream that has been silent for the longest of these; the
// factors are those of the users' clients.
const STREAM_MILLISECONDS = 2000;
const STREAM_OBJECTIVES = 4;
const STREAM_PAUSES = 8;

/** Milliseconds without an answer or event after which callers leave. */
export function callerTimeout(terms: CallerTimeoutInput): number {
  if (!terms.isStream) return terms.timeoutMilliseconds;
  return Math.max(
    STREAM_MILLISECONDS,
    STREAM_OBJECTIVES * terms.objectiveMilliseconds,
    STREAM_PAUSES * terms.pauseMilliseconds,
  );
}
