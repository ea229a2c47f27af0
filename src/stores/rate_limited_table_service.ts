import {failure, type Result} from '../errors/mod.ts';
import type {Metrics} from '../observability/mod.ts';
import type {Clock} from '../time/mod.ts';
import {OperationBudget} from './_operation_budget.ts';
import type {PlatformError, PlatformStep} from './platform_error.ts';
import type {
  CommitResult,
  ScanOptions,
  TableRow,
  TableService,
  TableTransaction,
} from './table_service.ts';

/** Options of {@link RateLimitedTableService}. */
export interface RateLimitedTableServiceOptions {
  table: TableService;
  clock: Clock;
  metrics: Metrics;
  /** Label of the metrics, such as `requests`. */
  purpose: string;
  /** Rows read a second on average. */
  readsPerSecond: number;
  /** Rows written a second on average. */
  writesPerSecond: number;
  /** Seconds of the average rate that may be spent at once. @default 5 */
  burstSeconds?: number;
}

const DEFAULT_BURST_SECONDS = 5;
const SCAN_ROWS_PER_READ = 100;

/**
 * Keeps one host's use of the table service within a budget, since all hosts
 * share the service's limits. An operation beyond the budget is refused before
 * it is sent.
 *
 * A read costs one per key, a scan one per started hundred rows, and a commit
 * one per written row. Uses that must not wait for each other, such as view
 * confirmation and idempotency claims, each get their own instance.
 */
export class RateLimitedTableService implements TableService {
  private readonly reads: OperationBudget;
  private readonly writes: OperationBudget;

  constructor(private readonly options: RateLimitedTableServiceOptions) {
    const {clock, readsPerSecond, writesPerSecond} = options;
    const burst = options.burstSeconds ?? DEFAULT_BURST_SECONDS;
    this.reads = new OperationBudget(
      clock,
      readsPerSecond,
      Math.max(1, readsPerSecond * burst),
    );
    this.writes = new OperationBudget(
      clock,
      writesPerSecond,
      Math.max(1, writesPerSecond * burst),
    );
  }

  async read(
    keys: readonly string[],
  ): Promise<Result<readonly (TableRow | undefined)[], PlatformError>> {
    const refusal = this.take('read', this.reads, keys.length);
    if (refusal !== undefined) return failure(refusal);
    return this.options.table.read(keys);
  }

  async scan(
    prefix: string,
    options?: ScanOptions,
  ): Promise<Result<readonly TableRow[], PlatformError>> {
    const refusal = this.take('scan', this.reads, 1);
    if (refusal !== undefined) return failure(refusal);
    const rows = await this.options.table.scan(prefix, options);
    if (!rows.ok) return rows;
    const further = Math.ceil(rows.value.length / SCAN_ROWS_PER_READ) - 1;
    if (further > 0) {
      this.reads.charge(further);
      this.count('scan', further);
    }
    return rows;
  }

  async commit(transaction: TableTransaction): Promise<CommitResult> {
    const rows = Math.max(1, transaction.writes.length);
    const refusal = this.take('commit', this.writes, rows);
    if (refusal !== undefined) return {kind: 'unavailable', error: refusal};
    return this.options.table.commit(transaction);
  }

  private take(
    step: PlatformStep,
    budget: OperationBudget,
    operations: number,
  ): PlatformError | undefined {
    const retryAfterMilliseconds = budget.take(operations);
    if (retryAfterMilliseconds === 0) {
      this.count(step, operations);
      return undefined;
    }
    const {metrics, purpose} = this.options;
    metrics.increment('limpetdale_table_over_budget_total', {purpose, step});
    return {kind: 'over_budget', step, peer: 'table', retryAfterMilliseconds};
  }

  private count(step: PlatformStep, operations: number): void {
    const {metrics, purpose} = this.options;
    metrics.increment(
      'limpetdale_table_operations_total',
      {purpose, step},
      operations,
    );
  }
}
