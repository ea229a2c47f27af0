/** Parts of the name of a target. */
export interface TargetParts {
  readonly model: string;
  /** Undefined when the target is a model. */
  readonly adapter: string | undefined;
}

/** Splits a target, which is a model or one of its adapters after a slash. */
export function splitTarget(target: string): TargetParts {
  const [model = target, adapter] = target.split('/');
  return {model, adapter};
}
