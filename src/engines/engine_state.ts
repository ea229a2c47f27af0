import type {EndpointRecord} from '../deployment/mod.ts';
import type {EngineReport} from './engine_control.ts';
import type {LoadTier} from './plan_placement.ts';

/** A load or unload that an engine carries out. */
export interface PendingOrder {
  readonly operation: 'load' | 'unload';
  readonly model: string;
  readonly tier: LoadTier | undefined;
  readonly startedAt: number;
  readonly expectedAt: number;
}

/** What the manager of a pool knows of one engine process. */
export class EngineState {
  models: Set<string>;
  adapters: Set<string>;
  /** Orders that the engine has accepted; unknown until its first report. */
  ordersAccepted: number | undefined;
  /** Monotonic time of the last order that changed models or adapters. */
  changedAt = Number.NEGATIVE_INFINITY;
  pending: PendingOrder | undefined;
  /** Models and adapters that hosts no longer use, before they are unloaded. */
  readonly withdrawn = new Set<string>();
  /** Monotonic time of the last use of each adapter. */
  readonly adapterUsedAt = new Map<string, number>();
  /** Whether an order has no answer yet, or its outcome is unknown. */
  isOrdering = false;
  /** Whether the order count is in doubt and a report is needed. */
  isUncertain = true;
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
   * Takes a row of the same process. A row that may have been written before
   * the last order took effect only settles that order.
   */
  takeRow(record: EndpointRecord, now: number): void {
    this.record = record;
    this.inMemory = new Set(record.inMemory);
    this.onDisk = new Set(record.onDisk);
    const isRecent = now - this.changedAt < ROW_LAG_MILLISECONDS;
    if (this.pending !== undefined) {
      this.settlePending(record.models, now);
    } else if (!isRecent) {
      this.takeModels(record.models);
    }
  }

  /** Takes a report that was asked for while no order was under way. */
  takeReport(report: EngineReport, now: number): void {
    this.ordersAccepted = report.ordersAccepted;
    this.isUncertain = false;
    this.takeModels(report.models);
    for (const adapter of report.pendingAdapters) this.adapters.add(adapter);
    if (this.pending !== undefined) this.settlePending(report.models, now);
  }

  /** What hosts may send requests for. */
  targets(): string[] {
    return [...this.models, ...this.adapters].filter(
      target =>
        !this.withdrawn.has(target) &&
        !this.withdrawn.has(target.split('/')[0] ?? target),
    );
  }

  private takeModels(models: EndpointRecord['models']): void {
    this.models = new Set(models.map(model => model.name));
    this.adapters = adaptersOf(models);
  }

  private settlePending(models: EndpointRecord['models'], now: number): void {
    const {pending} = this;
    if (pending === undefined) return;
    const isThere = models.some(model => model.name === pending.model);
    if (isThere !== (pending.operation === 'load')) return;
    this.pending = undefined;
    this.changedAt = now;
    this.withdrawn.delete(pending.model);
    this.takeModels(models);
  }
}

/** Time after an order in which a row may still show the state before it. */
const ROW_LAG_MILLISECONDS = 1500;

function adaptersOf(models: EndpointRecord['models']): Set<string> {
  return new Set(
    models.flatMap(model =>
      model.adapters.map(adapter => `${model.name}/${adapter}`),
    ),
  );
}
