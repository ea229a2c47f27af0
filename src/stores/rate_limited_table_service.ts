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
  /** Value of the `purpose` label of the metrics, such as `requests`. */
  purpose: string;
  /** Average number of rows read per second. */
  readsPerSecond: number;
  /** Average number of rows written per second. */
  writesPerSecond: number;
  /** Burst size, in seconds at the average rate. @default 5 */
  burstSeconds?: number;
}

const DEFAULT_BURST_SECONDS = 5;
const SCAN_ROWS_PER_READ = 100;

/**
 * Limits the rate of one host's operations on the table service, since all hosts
 * share the service's limits. An operation over the limit is refused before it
 * is sent.
 *
 * A read costs one operation per key, a scan one per hundred rows or part of a
 * hundred, and a commit one per written row. Purposes that must not delay each
 * other, such as view confirmation and idempotency claims, use one instance each.
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
    const refusal = this.takeOrRefuse('read', this.reads, keys.length);
    if (refusal !== undefined) return failure(refusal);
    return this.options.table.read(keys);
  }

  async scan(
    prefix: string,
    options?: ScanOptions,
  ): Promise<Result<readonly TableRow[], PlatformError>> {
    const refusal = this.takeOrRefuse('scan', this.reads, 1);
    if (refusal !== undefined) return failure(refusal);
    const rows = await this.options.table.scan(prefix, options);
    if (!rows.ok) return rows;
    const additionalReads =
      Math.ceil(rows.value.length / SCAN_ROWS_PER_READ) - 1;
    if (additionalReads > 0) {
      this.reads.charge(additionalReads);
      this.countOperations('scan', additionalReads);
    }
    return rows;
  }

  async commit(transaction: TableTransaction): Promise<CommitResult> {
    const rows = Math.max(1, transaction.writes.length);
    const refusal = this.takeOrRefuse('commit', this.writes, rows);
    if (refusal !== undefined) return {kind: 'unavailable', error: refusal};
    return this.options.table.commit(transaction);
  }

  private takeOrRefuse(
    step: PlatformStep,
    budget: OperationBudget,
    operations: number,
  ): PlatformError | undefined {
    const retryAfterMilliseconds = budget.tryTake(operations);
    if (retryAfterMilliseconds === 0) {
      this.countOperations(step, operations);
      return undefined;
    }
    const {metrics, purpose} = this.options;
    metrics.increment('limpetdale_table_over_budget_total', {purpose, step});
    return {kind: 'over_budget', step, peer: 'table', retryAfterMilliseconds};
  }

  private countOperations(step: PlatformStep, operations: number): void {
    const {metrics, purpose} = this.options;
    metrics.increment(
      'limpetdale_table_operations_total',
      {purpose, step},
      operations,
    );
  }
}
