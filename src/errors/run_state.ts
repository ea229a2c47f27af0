/** Whether a failed request was executed by an endpoint. */
export const RUN_STATES = {
  /** No endpoint has executed it or will do so. */
  notRun: 'not_run',
  /** It may have been executed completely or in part. */
  unknown: 'unknown',
  /** It was executed and produced a response. */
  run: 'run',
} as const;

/** One of {@link RUN_STATES}. */
export type RunState = (typeof RUN_STATES)[keyof typeof RUN_STATES];
