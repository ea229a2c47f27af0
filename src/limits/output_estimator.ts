/** Options of {@link OutputEstimator}. */
export interface OutputEstimatorOptions {
  /** Fraction of the answers that should fit into the estimate. @default 0.9 */
  quantile?: number;
  /** Number of answers required for an estimate. @default 20 */
  minimumAnswers?: number;
  /** Maximum number of pairs of team and target in memory. @default 4096 */
  maximumPairs?: number;
}

interface LengthRecord {
  /** Latest lengths, oldest first. */
  readonly lengths: number[];
}

/** Number of latest lengths kept per pair. */
const MAXIMUM_LENGTHS = 100;

/**
 * Estimates the length of answers from recent answers of the same team and
 * target, so that a request reserves the tokens that it will probably need
 * rather than its maximum. If an answer grows beyond its reservation, the
 * reservation is extended before more tokens are delivered.
 */
export class OutputEstimator {
  private readonly records = new Map<string, LengthRecord>();

  constructor(private readonly options: OutputEstimatorOptions = {}) {}

  /** Returns the tokens to reserve for an answer of at most `maximumTokens`. */
  estimate(team: string, target: string, maximumTokens: number): number {
    const {quantile = 0.9, minimumAnswers = 20} = this.options;
    const lengths = this.records.get(keyOf(team, target))?.lengths ?? [];
    if (lengths.length < minimumAnswers) return maximumTokens;
    const sorted = [...lengths].sort((left, right) => left - right);
    const index = Math.ceil(quantile * sorted.length) - 1;
    return Math.min(maximumTokens, Math.max(1, sorted[index]!));
  }

  /** Records the length of a complete answer. */
  record(team: string, target: string, tokens: number): void {
    const key = keyOf(team, target);
    const record = this.records.get(key) ?? {lengths: []};
    record.lengths.push(tokens);
    if (record.lengths.length > MAXIMUM_LENGTHS) record.lengths.shift();
    // Moves the pair to the end, so that the least recently used one is first.
    this.records.delete(key);
    this.records.set(key, record);
    const {maximumPairs = 4096} = this.options;
    const [oldest] = this.records.keys();
    if (this.records.size > maximumPairs && oldest !== undefined) {
      this.records.delete(oldest);
    }
  }
}

function keyOf(team: string, target: string): string {
  return JSON.stringify([team, target]);
}
