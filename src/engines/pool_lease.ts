import {unreachable} from '../errors/mod.ts';
import {sleep} from '../time/mod.ts';
import {
  engineOrdersFrom,
  type HeldLease,
  reportsCompleteFrom,
} from './_held_lease.ts';
import {IssuedOrders} from './_issued_orders.ts';
import {LeaseHistory, VALIDITY_MILLISECONDS} from './_lease_history.ts';
import {
  LEASE_TABLE,
  type LeaseRow,
  LeaseRowWriter,
} from './_lease_row_writer.ts';
import {LeaseWatch, type WatchedRow} from './_lease_watch.ts';
import {nextEpoch} from './_next_epoch.ts';
import type {LeaseRenewal} from './lease_renewal.ts';
import type {LeaseTerm} from './lease_term.ts';
import type {PoolLeaseOptions} from './pool_lease_options.ts';

const RENEWAL_MILLISECONDS = 500;

/**
 * Pause after a failed renewal. Allows about ten attempts while the lease is
 * still valid.
 */
const RENEWAL_RETRY_MILLISECONDS = 100;

const POLL_MILLISECONDS = 300;

const STORE_RESTORED_REASON = 'the store has come back from an older copy';

/** Pause after a failed attempt to acquire the lease. */
const LOST_RACE_PAUSE_MILLISECONDS = 600;

/**
 * Lease stored as a row of the store. The holder renews the row periodically;
 * another host takes over a row that has been unchanged for longer than the
 * holder may send orders without a renewal. The time since a renewal is the
 * longer of those measured with the monotonic clock and with the wall clock,
 * because the monotonic clock stops while a host is suspended.
 */
export class PoolLease {
  private readonly stopping = new AbortController();
  private held: HeldLease | undefined;
  private renewedAt = Number.NEGATIVE_INFINITY;
  private renewedWallTime = 0;
  /**
   * Start of the first renewal since the last success whose outcome is unknown.
   */
  private unansweredRenewal:
    {startedAt: number; startedWallTime: number} | undefined;
  private readonly orders: IssuedOrders;
  private readonly history: LeaseHistory;
  private readonly row: LeaseRowWriter;
  private readonly watch: LeaseWatch;

  constructor(private readonly options: PoolLeaseOptions) {
    this.orders = new IssuedOrders(options.clock);
    this.history = new LeaseHistory(options);
    this.row = new LeaseRowWriter(options);
    this.watch = new LeaseWatch(options, this.history);
  }

  /** Current term of this host; undefined while it doesn't hold the lease. */
  get term(): LeaseTerm | undefined {
    return this.held?.term;
  }

  /** Fencing token of the lease; undefined while it isn't held. */
  get epoch(): number | undefined {
    return this.term?.epoch;
  }

  /** Whether this host may send orders now. */
  mayIssueOrders(): boolean {
    const {held} = this;
    if (held === undefined) return false;
    const now = this.options.clock.monotonicMilliseconds();
    return (
      now >= held.ordersAllowedFrom &&
      this.sinceRenewal() < VALIDITY_MILLISECONDS
    );
  }

  /**
   * Whether this host may send an order to an engine.
   *
   * @param formerOrderAt Monotonic time before which former holders sent their last
   *     order to it; undefined if unknown, so that the delay of the whole pool applies.
   */
  mayOrder(formerOrderAt: number | undefined): boolean {
    return this.isHeld() && this.orderDelay(formerOrderAt) <= 0;
  }

  /** Milliseconds until {@link mayOrder} allows an order while the lease is held. */
  orderDelay(formerOrderAt: number | undefined): number {
    const {held} = this;
    if (held === undefined) return Number.POSITIVE_INFINITY;
    const now = this.options.clock.monotonicMilliseconds();
    const {handoverDelayMilliseconds, ordersBySettledEngine} = this.options;
    return formerOrderAt === undefined || ordersBySettledEngine !== true
      ? held.ordersAllowedFrom - now
      : engineOrdersFrom(held, formerOrderAt, handoverDelayMilliseconds) - now;
  }

  /**
   * Monotonic time from which the reports of engines contain all orders of former
   * holders; -Infinity if the delay of the whole pool covers that.
   */
  get engineReportsFrom(): number {
    const {held} = this;
    return held === undefined || this.options.ordersBySettledEngine !== true
      ? Number.NEGATIVE_INFINITY
      : reportsCompleteFrom(held);
  }

  /**
   * Whether the lease is held and valid, including during the handover delay
   * when no orders may be sent.
   */
  isHeld(): boolean {
    return (
      this.held !== undefined && this.sinceRenewal() < VALIDITY_MILLISECONDS
    );
  }

  /** Records that an order is being sent. */
  beginOrder(): void {
    this.orders.begin();
  }

  /** Records that an order was answered or abandoned. */
  endOrder(): void {
    this.orders.end();
  }

  /** Last renewal by this host; undefined while it doesn't hold the lease. */
  get renewal(): LeaseRenewal | undefined {
    if (this.held === undefined) return undefined;
    const now = this.options.clock.monotonicMilliseconds();
    // Uses only the monotonic clock: after a wall-clock jump, a successor would
    // assume that the renewal is older than it is.
    return {
      era: this.held.term.era,
      version: this.held.version,
      sinceMilliseconds: now - this.renewedAt,
    };
  }

  /**
   * Records the last renewal of another holder. If the row still has this
   * version when the holder stops reporting, the holder cannot have sent orders
   * after the validity of that renewal, so a successor need not observe the row
   * for the full takeover time first.
   */
  receiveRenewal(renewal: LeaseRenewal): void {
    this.history.recordRenewal(renewal);
  }

  /**
   * Records an epoch in which a holder has acted. The store may lose the row that says
   * so, and an epoch must not be given out again.
   */
  recordEpoch(epoch: number): void {
    this.history.recordEpoch(epoch);
  }

  /** Records that the holder of an epoch sends no more orders. */
  receiveResignation(epoch: number, sinceOrder: number): void {
    const now = this.options.clock.monotonicMilliseconds();
    const lastOrderAt = now - sinceOrder;
    this.history.recordResignation({epoch, lastOrderAt, isOwn: false});
  }

  /** Acquires and renews the lease until {@link release}. */
  async run(): Promise<void> {
    const {signal} = this.stopping;
    const {clock} = this.options;
    while (!signal.aborted) {
      if (this.held !== undefined) {
        await sleep(clock, await this.renew(), signal);
      } else if (this.options.hasHeardFromHolder()) {
        this.watch.reset();
        await sleep(clock, POLL_MILLISECONDS, signal);
      } else {
        await this.tryAcquire();
      }
    }
  }

  /**
   * Releases the lease, so that another host need not wait until it expires.
   */
  async release(): Promise<void> {
    this.stopping.abort();
    const {held} = this;
    this.held = undefined;
    if (held === undefined) return;
    const {epoch} = held.term;
    this.options.logger.event('leaseReleased', this.fields(epoch));
    const now = this.options.clock.monotonicMilliseconds();
    const sinceOrder = this.orders.sinceLast(held.previousOrderAt);
    this.options.onResigned?.(epoch, sinceOrder);
    const mark = {
      epoch,
      released: true,
      active: now >= held.ordersAllowedFrom,
    };
    const outcome = await this.row.write({
      ...mark,
      expectedVersion: held.version,
    });
    // A renewal that was under way may have been stored first.
    if (outcome.kind !== 'conflict') return;
    const {row} = outcome;
    if (row?.content.incarnation === this.options.incarnation) {
      await this.row.write({...mark, expectedVersion: row.version});
    }
  }

  private sinceRenewal(): number {
    const {clock} = this.options;
    const monotonic = clock.monotonicMilliseconds() - this.renewedAt;
    const wallClock = Math.abs(clock.now().getTime() - this.renewedWallTime);
    return Math.max(monotonic, wallClock);
  }

  /** @returns Delay before the next renewal, in milliseconds. */
  private async renew(): Promise<number> {
    const {clock} = this.options;
    const {held} = this;
    if (held === undefined) return 0;
    const startedAt = clock.monotonicMilliseconds();
    const startedWallTime = clock.now().getTime();
    const outcome = await this.row.write({
      epoch: held.term.epoch,
      expectedVersion: held.version,
      released: false,
      active: startedAt >= held.ordersAllowedFrom,
    });
    if (this.held !== held || this.stopping.signal.aborted) return 0;
    switch (outcome.kind) {
      case 'committed':
        // The condition may have held by chance for a version that was given out again.
        if (outcome.era !== held.term.era) {
          this.resign(held, STORE_RESTORED_REASON);
          return 0;
        }
        this.held = {...held, version: outcome.version};
        this.renewedAt = startedAt;
        this.renewedWallTime = startedWallTime;
        this.unansweredRenewal = undefined;
        return RENEWAL_MILLISECONDS;
      case 'failed':
        this.unansweredRenewal ??= {startedAt, startedWallTime};
        if (this.isHeld()) return RENEWAL_RETRY_MILLISECONDS;
        this.resign(held, 'no renewal succeeded in time');
        return RENEWAL_MILLISECONDS;
      case 'conflict':
        if (outcome.era !== held.term.era) {
          this.resign(held, STORE_RESTORED_REASON);
          return 0;
        }
        return this.handleConflict(held, outcome.row);
      default:
        return unreachable(outcome);
    }
  }

  /**
   * Handles a conflicting row version: keeps the lease if an earlier renewal of
   * this process with an unknown outcome wrote the row; otherwise the lease is
   * lost.
   */
  private handleConflict(held: HeldLease, row: LeaseRow | undefined): number {
    if (row?.content.incarnation !== this.options.incarnation) {
      this.options.logger.event('leaseLost', {
        ...this.fields(held.term.epoch),
        holder: row?.content.holder,
      });
      this.held = undefined;
      return RENEWAL_MILLISECONDS;
    }
    this.held = {...held, version: row.version};
    if (this.unansweredRenewal !== undefined) {
      this.renewedAt = this.unansweredRenewal.startedAt;
      this.renewedWallTime = this.unansweredRenewal.startedWallTime;
      this.unansweredRenewal = undefined;
    }
    return 0;
  }

  private resign(held: HeldLease, reason: string): void {
    const {logger, onResigned} = this.options;
    const isOwn = reason === STORE_RESTORED_REASON && this.isHeld();
    this.held = undefined;
    const {epoch} = held.term;
    logger.event('leaseLost', {...this.fields(epoch), reason});
    const sinceOrder = this.orders.sinceLast(held.previousOrderAt);
    this.history.recordResignation({
      epoch,
      lastOrderAt: this.options.clock.monotonicMilliseconds() - sinceOrder,
      isOwn,
    });
    onResigned?.(epoch, sinceOrder);
  }

  private async tryAcquire(): Promise<void> {
    const {clock, store, storeEra, random} = this.options;
    const {signal} = this.stopping;
    const startedAt = clock.monotonicMilliseconds();
    const page = await store.readTable(LEASE_TABLE);
    const now = clock.monotonicMilliseconds();
    if (signal.aborted) return;
    if (!page.ok) {
      await sleep(clock, POLL_MILLISECONDS, signal);
      return;
    }
    storeEra.observe(page.value.era, now);
    this.row.recordStoreTime(page.value.storeMilliseconds, startedAt);
    const row = this.watch.evaluate(page.value);
    if (!row.isAvailable) {
      await sleep(clock, POLL_MILLISECONDS, signal);
      return;
    }
    await sleep(clock, random() * POLL_MILLISECONDS, signal);
    if (signal.aborted || this.options.hasHeardFromHolder()) return;
    await this.acquire(row);
  }

  private async acquire(row: WatchedRow): Promise<void> {
    const {clock, logger, handoverDelayMilliseconds} = this.options;
    const {content: previous, version, era} = row;
    const startedAt = clock.monotonicMilliseconds();
    const startedWallTime = clock.now().getTime();
    const epochOfRow = nextEpoch(row);
    if (epochOfRow === undefined) {
      logger.event('epochsExhausted', {
        scope: this.options.scope,
        era,
        version,
      });
      await sleep(clock, LOST_RACE_PAUSE_MILLISECONDS, this.stopping.signal);
      return;
    }
    this.history.recordEpoch(previous?.epoch ?? 0);
    const epoch = Math.max(epochOfRow, this.history.highestEpoch + 1);
    const isOwnTerm = this.history.isOwnTerm(row, startedAt);
    const outcome = await this.row.write({
      epoch,
      expectedVersion: version,
      released: false,
      active: isOwnTerm,
    });
    this.watch.reset();
    if (outcome.kind !== 'committed' || outcome.era !== era) {
      await sleep(clock, LOST_RACE_PAUSE_MILLISECONDS, this.stopping.signal);
      return;
    }
    const previousOrderAt = this.history.latestOrderTime(row, startedAt);
    this.history.recordEpoch(epoch);
    this.held = {
      term: {epoch, era, replacedVersion: version},
      version: outcome.version,
      ordersAllowedFrom: isOwnTerm
        ? startedAt
        : previousOrderAt + handoverDelayMilliseconds,
      previousOrderAt,
    };
    this.renewedAt = startedAt;
    this.renewedWallTime = startedWallTime;
    if (this.stopping.signal.aborted) {
      await this.release();
      return;
    }
    this.options.onAcquired?.();
    logger.event('leaseAcquired', {
      ...this.fields(epoch),
      era,
      replacedVersion: version,
      former: previous?.holder,
      formerEpoch: previous?.epoch,
      formerEra: previous?.era,
      actsInMilliseconds: Math.max(
        0,
        Math.round(this.held.ordersAllowedFrom - startedAt),
      ),
    });
  }

  private fields(epoch: number) {
    return {scope: this.options.scope, epoch};
  }
}
