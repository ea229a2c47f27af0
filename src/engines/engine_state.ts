import type {EndpointRecord} from '../deployment/mod.ts';
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
  /** Orders that the engine has accepted, as far as is known. */
  ordersAccepted: number;
  pending: PendingOrder | undefined;
  /** Models and adapters that hosts no longer use, before they are unloaded. */
  readonly withdrawn = new Set<string>();
  /** Monotonic time of the last use of each adapter. */
  readonly adapterUsedAt = new Map<string, number>();
  /** Whether an order has no answer yet, or its outcome is unknown. */
  isOrdering = false;
  /** Whether the order count is in doubt and a report is needed. */
  isUncertain = false;
  /** Weights in the engine's main memory and on its disk. */
  inMemory: ReadonlySet<string>;
  onDisk: ReadonlySet<string>;

  constructor(public record: EndpointRecord) {
    this.models = new Set(record.models.map(model => model.name));
    this.adapters = adaptersOf(record.models);
    this.ordersAccepted = record.ordersAccepted;
    this.inMemory = new Set(record.inMemory);
    this.onDisk = new Set(record.onDisk);
  }

  /**
   * Takes a newer row or report of the same process.
   *
   * @returns Whether models came or went.
   */
  update(held: EndpointRecord['models'], ordersAccepted: number): boolean {
    // Rows from before the last accepted order say nothing of its outcome.
    if (ordersAccepted < this.ordersAccepted) return false;
    const before = [...this.models].sort().join();
    this.ordersAccepted = ordersAccepted;
    this.models = new Set(held.map(model => model.name));
    this.adapters = adaptersOf(held);
    this.settlePending();
    return before !== [...this.models].sort().join();
  }

  /** What hosts may send requests for. */
  targets(): string[] {
    return [...this.models, ...this.adapters].filter(
      target =>
        !this.withdrawn.has(target) &&
        !this.withdrawn.has(target.split('/')[0] ?? target),
    );
  }

  private settlePending(): void {
    const {pending} = this;
    if (pending === undefined) return;
    const isThere = this.models.has(pending.model);
    if (isThere !== (pending.operation === 'load')) return;
    this.pending = undefined;
    this.withdrawn.delete(pending.model);
  }
}

function adaptersOf(models: EndpointRecord['models']): Set<string> {
  return new Set(
    models.flatMap(model =>
      model.adapters.map(adapter => `${model.name}/${adapter}`),
    ),
  );
}
