/** Options of {@link OutputEstimator}. */
export interface OutputEstimatorOptions {
  /** Share of answers that should fit into the estimate. @default 0.9 */
  quantile?: number;
  /** Answers seen before an estimate is given. @default 20 */
  minimumAnswers?: number;
  /** Pairs of team and target that are remembered. @default 4096 */
  maximumPairs?: number;
}

interface LengthRecord {
  /** Latest lengths, oldest first. */
  readonly lengths: number[];
}

const MAXIMUM_LENGTHS = 100;

/**
 * Learns how long answers are for each team and target, so that a request
 * reserves what it will probably need instead of its maximum. An answer that
 * grows beyond its reservation is extended before more is delivered.
 */
export class OutputEstimator {
  private readonly records = new Map<string, LengthRecord>();

  constructor(private readonly options: OutputEstimatorOptions = {}) {}

  /** Tokens to reserve for an answer of at most `maximumTokens`. */
  estimate(team: string, target: string, maximumTokens: number): number {
    const {quantile = 0.9, minimumAnswers = 20} = this.options;
    const lengths = this.records.get(keyOf(team, target))?.lengths ?? [];
    if (lengths.length < minimumAnswers) return maximumTokens;
    const sorted = [...lengths].sort((left, right) => left - right);
    const index = Math.ceil(quantile * sorted.length) - 1;
    return Math.min(maximumTokens, Math.max(1, sorted[index]!));
  }

  /** Notes the length of a complete answer. */
  record(team: string, target: string, tokens: number): void {
    const key = keyOf(team, target);
    const record = this.records.get(key) ?? {lengths: []};
    record.lengths.push(tokens);
    if (record.lengths.length > MAXIMUM_LENGTHS) record.lengths.shift();
    // Moves the pair to the end, so that the one unused longest is first.
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
