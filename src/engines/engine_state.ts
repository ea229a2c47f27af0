import type {EndpointRecord} from '../deployment/mod.ts';
import {splitTarget} from './_split_target.ts';
import type {EngineReport} from './engine_control.ts';
import type {LoadTier} from './load_tier.ts';

/** A load or unload in progress on an engine. */
export interface PendingOrder {
  readonly operation: 'load' | 'unload';
  readonly model: string;
  readonly tier: LoadTier | undefined;
  readonly startedAt: number;
  readonly expectedAt: number;
}

/**
 * Number of consecutive reports below the known order count that are ignored as
 * stale before the known count itself is assumed to be wrong. A report lags by
 * a few hundred milliseconds.
 */
const MAXIMUM_STALE_REPORTS = 4;

/** State of one engine process as known to its pool's manager. */
export class EngineState {
  models: Set<string>;
  adapters: Set<string>;
  /**
   * Number of orders the engine has accepted; unknown until its first report.
   */
  ordersAccepted: number | undefined;
  pending: PendingOrder | undefined;
  /**
   * Monotonic time before which former managers sent their last order; undefined if
   * unknown.
   */
  formerOrderAt: number | undefined;
  /** Models and adapters withdrawn from use because they will be unloaded. */
  readonly withdrawn = new Set<string>();
  /** Monotonic time of the last use of each adapter. */
  readonly adapterUsedAt = new Map<string, number>();
  /**
   * Whether an order or report is in progress, so that no other order may
   * start.
   */
  isLocked = false;
  /**
   * Whether the order count or models may be wrong, so that a report is needed.
   */
  needsReport = true;
  /** Whether the engine did not answer the last call. */
  isUnreachable = false;
  /**
   * Number of consecutive reports with fewer orders than are known to be
   * accepted.
   */
  private staleReports = 0;
  /** Monotonic time before which waiting requests trigger no further report. */
  nextRecheckAt = Number.NEGATIVE_INFINITY;
  /** Model that will be loaded next, while others are evicted for it. */
  reservedFor: string | undefined;
  /** Monotonic time at which each model was found to be loaded. */
  readonly loadedAt = new Map<string, number>();
  /** Models whose weights are in the engine's main memory. */
  inMemory: ReadonlySet<string>;
  /** Models whose weights are on the engine's disk. */
  onDisk: ReadonlySet<string>;

  constructor(public record: EndpointRecord) {
    this.models = new Set(record.models.map(model => model.name));
    this.adapters = adaptersOf(record.models);
    this.inMemory = new Set(record.inMemory);
    this.onDisk = new Set(record.onDisk);
  }

  /**
   * Applies a newer row of the same process. Rows lag behind orders, so a row
   * can only complete the pending order; the loaded models are derived from the
   * engine's reports and the orders since.
   */
  applyRow(record: EndpointRecord): void {
    this.record = record;
    this.inMemory = new Set(record.inMemory);
    this.onDisk = new Set(record.onDisk);
    if (this.pending !== undefined) this.completePending(record.models);
  }

  /**
   * Applies a report. Reports lag, so one with fewer orders than the engine is
   * known to have accepted is ignored. While the engine executes an order that
   * this manager does not know of, its models can still change without a change
   * of the order count, so another report is needed.
   *
   * @returns Whether the report was current.
   */
  applyReport(report: EngineReport): boolean {
    this.isUnreachable = false;
    const expectedOrders = this.ordersAccepted ?? 0;
    if (
      report.ordersAccepted < expectedOrders &&
      this.staleReports < MAXIMUM_STALE_REPORTS
    ) {
      this.staleReports++;
      this.needsReport = true;
      return false;
    }
    this.staleReports = 0;
    // An order that this manager does not know of may be one of a former manager.
    if (report.ordersAccepted > (this.ordersAccepted ?? Infinity))
      this.formerOrderAt = undefined;
    this.ordersAccepted = report.ordersAccepted;
    this.setModels(report.models);
    for (const adapter of report.pendingAdapters) this.adapters.add(adapter);
    if (this.pending !== undefined) this.completePending(report.models);
    this.needsReport = report.isBusy && this.pending === undefined;
    return true;
  }

  /** Models and adapters that hosts may send requests for. */
  availableTargets(): string[] {
    return [...this.models, ...this.adapters].filter(
      target =>
        !this.withdrawn.has(target) &&
        !this.withdrawn.has(splitTarget(target).model),
    );
  }

  private setModels(models: EndpointRecord['models']): void {
    this.models = new Set(models.map(model => model.name));
    this.adapters = adaptersOf(models);
  }

  private completePending(models: EndpointRecord['models']): void {
    const {pending} = this;
    if (pending === undefined) return;
    const isThere = models.some(model => model.name === pending.model);
    if (isThere !== (pending.operation === 'load')) return;
    this.pending = undefined;
    this.withdrawn.delete(pending.model);
    if (pending.operation === 'load') {
      this.models.add(pending.model);
      return;
    }
    this.models.delete(pending.model);
    for (const adapter of [...this.adapters]) {
      if (adapter.startsWith(`${pending.model}/`))
        this.adapters.delete(adapter);
    }
  }
}

function adaptersOf(models: EndpointRecord['models']): Set<string> {
  return new Set(
    models.flatMap(model =>
      model.adapters.map(adapter => `${model.name}/${adapter}`),
    ),
  );
}
