/** Key of a stream whose caller does not name it; no stream is recorded under it. */
export const UNNAMED_STREAM = '';

/** A stream that callers can take up again. */
export interface ResumableStream {
  /** Identity over all tries of its caller, or {@link UNNAMED_STREAM}. */
  readonly key: string;
  readonly service: string;
  /** Monotonic time after which its caller does not come back. */
  readonly livesUntil: number;
}
