/** Components of a target name. */
export interface TargetParts {
  readonly model: string;
  /** Undefined if the target is the model itself. */
  readonly adapter: string | undefined;
}

/** Splits a target of the form `model` or `model/adapter`. */
export function splitTarget(target: string): TargetParts {
  const [model = target, adapter] = target.split('/');
  return {model, adapter};
}
