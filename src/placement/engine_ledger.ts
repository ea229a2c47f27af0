import type {EngineEntry, EngineState} from '../endpoints/mod.ts';
import type {LedgerState, ReplicaView} from './pool_view.ts';

/** An ordered load or unload whose outcome a later listing will show. */
export interface LedgerOrder {
  readonly orderId: string;
  readonly epoch: number;
  readonly kind: 'load' | 'unload';
  readonly target: string;
  readonly targetKind: 'model' | 'adapter';
  readonly baseModel: string | null;
  readonly version: string;
  readonly memoryMegabytes: number;
  readonly expectedMilliseconds: number;
  readonly remote: boolean;
  readonly startedAt: number;
  /** Monotonic time after which the engine can no longer start the order. */
  boundAt: number;
  /** Monotonic time at which it was known to be accepted; undefined before. */
  acceptedAt: number | undefined;
  /** Number of listings since acceptance that do not show the replica. */
  missingListings: number;
}

/** Outcome of an order, or the loss of replicas, as a listing shows it. */
export type LedgerEvent =
  | {readonly kind: 'loaded'; readonly order: LedgerOrder}
  | {
      readonly kind: 'load_failed';
      readonly order: LedgerOrder;
      readonly reason: string;
    }
  | {readonly kind: 'unloaded'; readonly order: LedgerOrder}
  /** The order expired and the replica is still loaded. */
  | {readonly kind: 'unload_failed'; readonly order: LedgerOrder}
  | {readonly kind: 'lost'; readonly targets: readonly string[]};

/** Number of listings without an accepted load after which it has failed. */
const MISSING_LISTINGS = 2;

/**
 * Accounts for the replicas and memory of one engine, from its open orders and
 * its latest listing. A replica is counted from the decision to load it until a
 * listing shows that it is absent. If the engine's answer to the order is
 * unknown, the replica is also counted until the order has expired.
 */
export class EngineLedger {
  /** The latest listing. */
  listing: EngineState | undefined;
  /** Monotonic time at which the latest listing was requested. */
  listedAt = -Infinity;
  private readonly orders = new Map<string, LedgerOrder>();
  /** By target: monotonic time since which its entry has its state. */
  private readonly since = new Map<string, number>();
  /** By target: monotonic time at which its drain started. */
  private readonly draining = new Map<string, number>();

  constructor(readonly name: string) {}

  /** Orders whose outcome is not known yet. */
  get openOrders(): readonly LedgerOrder[] {
    return [...this.orders.values()];
  }

  /** Adds an order, whose replica and memory are counted from now on. */
  add(order: LedgerOrder): void {
    this.orders.set(order.orderId, order);
  }

  /** Records that the engine accepted an order. */
  markAccepted(orderId: string, now: number): void {
    const order = this.orders.get(orderId);
    if (order !== undefined) order.acceptedAt = now;
  }

  /** Removes an order that the engine certainly does not execute. */
  remove(orderId: string): LedgerOrder | undefined {
    const order = this.orders.get(orderId);
    this.orders.delete(orderId);
    return order;
  }

  /** Marks a replica as draining: hosts must send no new requests to it. */
  startDrain(target: string, now: number): void {
    if (!this.draining.has(target)) this.draining.set(target, now);
  }

  /** Monotonic time at which a drain started; undefined without one. */
  drainingSince(target: string): number | undefined {
    return this.draining.get(target);
  }

  /** Lets hosts use a draining replica again. */
  cancelDrain(target: string): void {
    this.draining.delete(target);
  }

  /**
   * Replaces the listing, and settles the orders whose outcomes it shows.
   *
   * @param askedAt Monotonic time at which the listing was requested.
   * @param answeredAt Monotonic time at which it arrived.
   * @returns Outcomes and losses that the listing shows.
   */
  applyListing(
    state: EngineState,
    askedAt: number,
    answeredAt: number,
  ): readonly LedgerEvent[] {
    const events: LedgerEvent[] = [];
    const previous = this.listing;
    if (previous !== undefined && previous.incarnation !== state.incarnation) {
      events.push(...this.processEnded(askedAt));
    }
    this.listing = state;
    this.listedAt = askedAt;
    this.trackSince(previous, state, answeredAt);
    const failed = new Map(
      state.failedOrders.map(({orderId, reason}) => [orderId, reason]),
    );
    for (const order of [...this.orders.values()]) {
      const event = this.settle(order, askedAt, failed.get(order.orderId));
      if (event !== undefined) events.push(event);
    }
    for (const target of this.draining.keys()) {
      if (!this.entryOf(target)) this.draining.delete(target);
    }
    return events;
  }

  /**
   * Records that the engine's process has ended, and with it all replicas. Open
   * orders without a known answer stay until they expire, since they may reach
   * the next process.
   */
  processEnded(now: number): readonly LedgerEvent[] {
    const events: LedgerEvent[] = [];
    const lost = (this.listing?.entries ?? [])
      .filter(entry => entry.state === 'loaded')
      .map(entry => entry.name);
    if (lost.length > 0) events.push({kind: 'lost', targets: lost});
    for (const order of [...this.orders.values()]) {
      const {acceptedAt, boundAt} = order;
      if (acceptedAt === undefined && now < boundAt) continue;
      this.orders.delete(order.orderId);
      if (order.kind === 'load') {
        const reason = 'The engine process ended';
        events.push({kind: 'load_failed', order, reason});
      }
    }
    this.listing = undefined;
    this.since.clear();
    this.draining.clear();
    return events;
  }

  /** All replicas that occupy memory or may do so. */
  replicas(now: number): readonly ReplicaView[] {
    const result = (this.listing?.entries ?? []).map(entry =>
      this.viewOfEntry(entry, now),
    );
    for (const order of this.orders.values()) {
      if (order.kind !== 'load') continue;
      if (this.entryOf(order.target) !== undefined) continue;
      result.push(this.viewOfOrder(order, now));
    }
    return result;
  }

  /** Total memory of {@link replicas}. */
  usedMegabytes(now: number): number {
    return this.replicas(now).reduce(
      (sum, replica) => sum + replica.memoryMegabytes,
      0,
    );
  }

  /** Entry of a target in the latest listing. */
  entryOf(target: string): EngineEntry | undefined {
    return this.listing?.entries.find(entry => entry.name === target);
  }

  private settle(
    order: LedgerOrder,
    askedAt: number,
    failure: string | undefined,
  ): LedgerEvent | undefined {
    const entry = this.entryOf(order.target);
    if (order.kind === 'unload')
      return this.settleUnload(order, entry, askedAt);
    if (failure !== undefined) {
      this.orders.delete(order.orderId);
      return {kind: 'load_failed', order, reason: failure};
    }
    if (entry?.orderId === order.orderId) {
      order.missingListings = 0;
      order.acceptedAt ??= askedAt;
      if (entry.state === 'loading') return undefined;
      this.orders.delete(order.orderId);
      return {kind: 'loaded', order};
    }
    const {acceptedAt} = order;
    if (acceptedAt === undefined) {
      if (askedAt <= order.boundAt) return undefined;
      this.orders.delete(order.orderId);
      const reason = 'The order did not reach the engine';
      return {kind: 'load_failed', order, reason};
    }
    if (askedAt <= acceptedAt) return undefined;
    order.missingListings++;
    if (order.missingListings < MISSING_LISTINGS) return undefined;
    this.orders.delete(order.orderId);
    const reason = 'The engine does not list the load';
    return {kind: 'load_failed', order, reason};
  }

  private settleUnload(
    order: LedgerOrder,
    entry: EngineEntry | undefined,
    askedAt: number,
  ): LedgerEvent | undefined {
    if (entry === undefined) {
      // An order without a known answer may still arrive and unload a replica
      // that was loaded later.
      if (order.acceptedAt === undefined && askedAt <= order.boundAt) {
        return undefined;
      }
      this.orders.delete(order.orderId);
      return {kind: 'unloaded', order};
    }
    if (entry.state === 'unloading') order.acceptedAt ??= askedAt;
    if (askedAt > order.boundAt && entry.state === 'loaded') {
      this.orders.delete(order.orderId);
      return {kind: 'unload_failed', order};
    }
    return undefined;
  }

  private trackSince(
    previous: EngineState | undefined,
    state: EngineState,
    now: number,
  ): void {
    for (const entry of state.entries) {
      const before = previous?.entries.find(known => {
        return known.name === entry.name && known.orderId === entry.orderId;
      });
      if (before?.state !== entry.state) this.since.set(entry.name, now);
    }
    for (const name of this.since.keys()) {
      if (!state.entries.some(entry => entry.name === name)) {
        this.since.delete(name);
      }
    }
  }

  private viewOfEntry(entry: EngineEntry, now: number): ReplicaView {
    const orders = [...this.orders.values()].filter(order => {
      return order.target === entry.name;
    });
    const load = orders.find(order => order.kind === 'load');
    const unloads = orders.some(order => order.kind === 'unload');
    // An open load order may still replace the entry, so the larger of the two
    // counts.
    const memory = Math.max(entry.memoryMegabytes, load?.memoryMegabytes ?? 0);
    return {
      target: entry.name,
      kind: entry.kind,
      baseModel: load?.baseModel ?? null,
      version: entry.version,
      endpoint: this.name,
      state: this.stateOf(entry, unloads),
      memoryMegabytes: memory,
      orderId: entry.orderId,
      since: this.since.get(entry.name) ?? now,
      readyInMilliseconds:
        entry.state !== 'loading' || load === undefined
          ? 0
          : remainingOf(load, entry.progress, now),
    };
  }

  private stateOf(entry: EngineEntry, unloads: boolean): LedgerState {
    if (entry.state !== 'loaded') return entry.state;
    if (unloads) return 'unloading';
    return this.draining.has(entry.name) ? 'draining' : 'loaded';
  }

  private viewOfOrder(order: LedgerOrder, now: number): ReplicaView {
    return {
      target: order.target,
      kind: order.targetKind,
      baseModel: order.baseModel,
      version: order.version,
      endpoint: this.name,
      state: order.acceptedAt === undefined ? 'unresolved' : 'loading',
      memoryMegabytes: order.memoryMegabytes,
      orderId: order.orderId,
      since: order.startedAt,
      readyInMilliseconds: remainingOf(order, 0, now),
    };
  }
}

/** Minimum progress from which the remaining time is extrapolated. */
const MINIMUM_PROGRESS = 0.02;

/** Remaining time of a load, from its progress or else from the estimate. */
function remainingOf(
  order: LedgerOrder,
  progress: number,
  now: number,
): number {
  const elapsed = Math.max(0, now - order.startedAt);
  if (progress >= MINIMUM_PROGRESS)
    return (elapsed / progress) * (1 - progress);
  const planned = order.expectedMilliseconds - elapsed;
  // An overdue load without progress is assumed to need as long again.
  return planned > 0 ? planned : elapsed;
}
