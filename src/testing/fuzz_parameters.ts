/** Seed and number of runs of a property test. */
export interface FuzzParameters {
  readonly seed: number;
  readonly runs: number;
}

const DEFAULT_SEED = 20_261_204;

/** Time for `npm run fuzz`; runs of CI take seconds. */
export const FUZZ_TIME_LIMIT_MILLISECONDS = 3_600_000;

/**
 * Seed and runs of a property test: fixed ones in CI, or those of
 * `npm run fuzz -- --seed N --runs N`.
 *
 * @param defaultRuns Runs when the command does not set them.
 */
export function fuzzParameters(defaultRuns: number): FuzzParameters {
  return {
    seed: Number(process.env['FUZZ_SEED'] ?? DEFAULT_SEED),
    runs: Number(process.env['FUZZ_RUNS'] ?? defaultRuns),
  };
}
