import type {EndpointRecord} from '../deployment/mod.ts';
import {splitTarget} from './_split_target.ts';
import type {EngineReport} from './engine_control.ts';
import type {LoadTier} from './load_tier.ts';

/** A load or unload that an engine carries out. */
export interface PendingOrder {
  readonly operation: 'load' | 'unload';
  readonly model: string;
  readonly tier: LoadTier | undefined;
  readonly startedAt: number;
  readonly expectedAt: number;
}

/**
 * Reports that may lag behind the known order count before the count itself is
 * taken for wrong; a report lags by some hundred milliseconds.
 */
const MAXIMUM_STALE_REPORTS = 4;

/** What the manager of a pool knows of one engine process. */
export class EngineState {
  models: Set<string>;
  adapters: Set<string>;
  /** Orders that the engine has accepted; unknown until its first report. */
  ordersAccepted: number | undefined;
  pending: PendingOrder | undefined;
  /** Models and adapters that hosts no longer use, before they are unloaded. */
  readonly withdrawn = new Set<string>();
  /** Monotonic time of the last use of each adapter. */
  readonly adapterUsedAt = new Map<string, number>();
  /** Whether an order has no answer yet, or its outcome is unknown. */
  isLocked = false;
  /** Whether the order count is in doubt and a report is needed. */
  needsReport = true;
  /** Whether the engine did not answer the last call. */
  isUnreachable = false;
  /** Reports in a row that counted fewer orders than were accepted. */
  private staleReports = 0;
  /** Monotonic time until which its state is not doubted again. */
  nextRecheckAt = Number.NEGATIVE_INFINITY;
  /** Model that has this engine's next load, while others make room for it. */
  reservedFor: string | undefined;
  /** Monotonic time at which each model was seen to be loaded. */
  readonly loadedAt = new Map<string, number>();
  /** Weights in the engine's main memory and on its disk. */
  inMemory: ReadonlySet<string>;
  onDisk: ReadonlySet<string>;

  constructor(public record: EndpointRecord) {
    this.models = new Set(record.models.map(model => model.name));
    this.adapters = adaptersOf(record.models);
    this.inMemory = new Set(record.inMemory);
    this.onDisk = new Set(record.onDisk);
  }

  /**
   * Takes a newer row of the same process. Rows lag behind orders, so a row
   * only settles the order that is under way; what the engine holds follows
   * from its reports and the orders since.
   */
  applyRow(record: EndpointRecord): void {
    this.record = record;
    this.inMemory = new Set(record.inMemory);
    this.onDisk = new Set(record.onDisk);
    if (this.pending !== undefined) this.completePending(record.models);
  }

  /**
   * Takes a report. Reports lag: one that counts fewer orders than the engine
   * has accepted says nothing new. While the engine carries out an order that
   * this manager does not know of, its models will still change without
   * another count.
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
    this.ordersAccepted = report.ordersAccepted;
    this.setModels(report.models);
    for (const adapter of report.pendingAdapters) this.adapters.add(adapter);
    if (this.pending !== undefined) this.completePending(report.models);
    this.needsReport = report.isBusy && this.pending === undefined;
    return true;
  }

  /** What hosts may send requests for. */
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
