/** Result of an operation whose expected failures are returned, not thrown. */
export type Result<Value, Failure> =
  | {readonly ok: true; readonly value: Value}
  | {readonly ok: false; readonly error: Failure};

/** Wraps a value as a successful {@link Result}. */
export function success<Value>(value: Value): {ok: true; value: Value} {
  return {ok: true, value};
}

/** Wraps an error as a failed {@link Result}. */
export function failure<Failure>(error: Failure): {
  ok: false;
  error: Failure;
} {
  return {ok: false, error};
}
