import {unreachable} from '../errors/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {RowStore, StoreEra} from '../stores/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import {decodeLease, encodeLease, type LeaseContent} from './_lease_content.ts';

/** Options of {@link PoolLease}. */
export interface PoolLeaseOptions {
  store: RowStore;
  storeEra: StoreEra;
  clock: Clock;
  logger: EventLogger;
  hostId: string;
  incarnation: string;
  /** Name of the leased resource; key of the lease row. */
  scope: string;
  /**
   * Minimum time between the last order of one holder and the first of the
   * next.
   */
  handoverDelayMilliseconds: number;
  /** Whether another holder has been heard from recently. */
  hasHeardFromHolder: () => boolean;
  /**
   * Called when this host has given up the lease, to notify the other hosts.
   *
   * @param sinceOrder Milliseconds since its last order; negative while one may
   *     still arrive.
   */
  onResigned?: (epoch: number, sinceOrder: number) => void;
  /** Called when the lease has been acquired. */
  onAcquired?: () => void;
  /**
   * Returns a number in [0, 1); adds jitter to the hosts' attempts to acquire.
   */
  random: () => number;
}

/** Table of the leases. */
export const LEASE_TABLE = 'leases';

const RENEWAL_MILLISECONDS = 500;

/**
 * Pause after a failed renewal. Allows about ten attempts while the lease is
 * still valid.
 */
const RENEWAL_RETRY_MILLISECONDS = 100;

/** Validity of the lease from the start of the last successful renewal. */
const VALIDITY_MILLISECONDS = 1400;

/** Time for which a row must be unchanged before another host may take over. */
const TAKEOVER_MILLISECONDS = 1800;

const POLL_MILLISECONDS = 300;

const STORE_RESTORED_REASON = 'the store has come back from an older copy';

/** Time after which an order that was sent has arrived or been abandoned. */
const ORDER_TIMEOUT_MILLISECONDS = 1000;

/** Pause after a failed attempt to acquire the lease. */
const LOST_RACE_PAUSE_MILLISECONDS = 600;

interface HeldLease {
  readonly epoch: number;
  readonly era: number;
  readonly version: number;
  readonly ordersAllowedFrom: number;
  /** Latest time at which a previous holder can have sent an order. */
  readonly previousOrderAt: number;
}

interface Observation {
  readonly era: number;
  readonly version: number;
  /** Monotonic time since which the row is known to be unchanged. */
  readonly unchangedSince: number;
}

interface Resignation {
  readonly epoch: number;
  readonly lastOrderAt: number;
  /**
   * Whether this host held the lease in that epoch until it saw the store come back,
   * so that no other host can have acquired it meanwhile.
   */
  readonly isOwn: boolean;
}

/** Last renewal of a lease, as the holder reports it to its peers. */
export interface LeaseRenewal {
  /** Era of the store to which the version belongs. */
  readonly era: number;
  /** Version of the row written by the renewal. */
  readonly version: number;
  /**
   * Time since the renewal started; too low if the host was suspended
   * meanwhile.
   */
  readonly sinceMilliseconds: number;
}

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
  private observedRow: Observation | undefined;
  /**
   * Start of the first renewal since the last success whose outcome is unknown.
   */
  private unansweredRenewal:
    {startedAt: number; startedWallTime: number} | undefined;
  private lastOrderAt = Number.NEGATIVE_INFINITY;
  private ordersInFlight = 0;
  /** Last renewal reported by another holder. */
  private receivedRenewal: Observation | undefined;
  /** Epoch whose holder has reported that it sends no more orders. */
  private resignation: Resignation | undefined;
  /** Highest epoch of which this host knows, also if the store has lost it. */
  private highestEpoch = 0;

  constructor(private readonly options: PoolLeaseOptions) {}

  /** Fencing token of the lease; undefined while it isn't held. */
  get epoch(): number | undefined {
    return this.held?.epoch;
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
    this.ordersInFlight++;
    this.lastOrderAt = this.options.clock.monotonicMilliseconds();
  }

  /** Records that an order was answered or abandoned. */
  endOrder(): void {
    this.ordersInFlight--;
  }

  /** Last renewal by this host; undefined while it doesn't hold the lease. */
  get renewal(): LeaseRenewal | undefined {
    if (this.held === undefined) return undefined;
    const now = this.options.clock.monotonicMilliseconds();
    // Uses only the monotonic clock: after a wall-clock jump, a successor would
    // assume that the renewal is older than it is.
    return {
      era: this.held.era,
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
  receiveRenewal({era, version, sinceMilliseconds}: LeaseRenewal): void {
    const now = this.options.clock.monotonicMilliseconds();
    const unchangedSince = now - sinceMilliseconds;
    this.receivedRenewal = {era, version, unchangedSince};
  }

  /**
   * Records an epoch in which a holder has acted. The store may lose the row that says
   * so, and an epoch must not be given out again.
   */
  recordEpoch(epoch: number): void {
    this.highestEpoch = Math.max(this.highestEpoch, epoch);
  }

  /** Records that the holder of an epoch sends no more orders. */
  receiveResignation(epoch: number, sinceOrder: number): void {
    const now = this.options.clock.monotonicMilliseconds();
    this.recordEpoch(epoch);
    this.resignation = {epoch, lastOrderAt: now - sinceOrder, isOwn: false};
  }

  /** Acquires and renews the lease until {@link release}. */
  async run(): Promise<void> {
    const {signal} = this.stopping;
    const {clock} = this.options;
    while (!signal.aborted) {
      if (this.held !== undefined) {
        await sleep(clock, await this.renew(), signal);
      } else if (this.options.hasHeardFromHolder()) {
        this.observedRow = undefined;
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
    this.options.logger.event('leaseReleased', this.fields(held.epoch));
    const now = this.options.clock.monotonicMilliseconds();
    this.options.onResigned?.(held.epoch, this.sinceLastOrder(held));
    const mark = {released: true, active: now >= held.ordersAllowedFrom};
    const outcome = await this.write(held.epoch, held.version, mark);
    // A renewal that was under way may have been stored first.
    if (outcome.kind !== 'conflict') return;
    const {row} = outcome;
    if (row?.content.incarnation === this.options.incarnation) {
      await this.write(held.epoch, row.version, mark);
    }
  }

  /**
   * Milliseconds since the last order, of a previous holder if this one has sent
   * none; negative while one may still arrive.
   */
  private sinceLastOrder({previousOrderAt}: HeldLease): number {
    if (this.ordersInFlight > 0) return -ORDER_TIMEOUT_MILLISECONDS;
    const now = this.options.clock.monotonicMilliseconds();
    return now - Math.max(this.lastOrderAt, previousOrderAt);
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
    const outcome = await this.write(held.epoch, held.version, {
      released: false,
      active: startedAt >= held.ordersAllowedFrom,
    });
    if (this.held !== held || this.stopping.signal.aborted) return 0;
    switch (outcome.kind) {
      case 'committed':
        // The condition may have held by chance for a version that was given out again.
        if (outcome.era !== held.era) {
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
        if (outcome.era !== held.era) {
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
        ...this.fields(held.epoch),
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
    logger.event('leaseLost', {...this.fields(held.epoch), reason});
    const sinceOrder = this.sinceLastOrder(held);
    this.resignation = {
      epoch: held.epoch,
      lastOrderAt: this.options.clock.monotonicMilliseconds() - sinceOrder,
      isOwn,
    };
    onResigned?.(held.epoch, sinceOrder);
  }

  private async tryAcquire(): Promise<void> {
    const {clock, store, storeEra, random} = this.options;
    const {signal} = this.stopping;
    const page = await store.readTable(LEASE_TABLE);
    const now = clock.monotonicMilliseconds();
    if (signal.aborted) return;
    if (!page.ok) {
      await sleep(clock, POLL_MILLISECONDS, signal);
      return;
    }
    const {era} = page.value;
    storeEra.observe(era, now);
    const row = page.value.rows.find(({key}) => key === this.options.scope);
    const content = row === undefined ? undefined : decodeLease(row.value);
    const version = row?.version ?? 0;
    const isSeen = (observed: Observation | undefined) =>
      observed?.era === era && observed.version === version;
    if (!isSeen(this.observedRow)) {
      this.observedRow = isSeen(this.receivedRenewal)
        ? this.receivedRenewal
        : {era, version, unchangedSince: now};
    }
    const hasResigned =
      content !== undefined &&
      this.resignation !== undefined &&
      this.resignation.epoch >= Math.max(content.epoch, this.highestEpoch);
    const isAvailable =
      content === undefined ||
      content.released ||
      hasResigned ||
      content.holder === this.options.hostId ||
      now - (this.observedRow?.unchangedSince ?? now) >= TAKEOVER_MILLISECONDS;
    if (!isAvailable) {
      await sleep(clock, POLL_MILLISECONDS, signal);
      return;
    }
    await sleep(clock, random() * POLL_MILLISECONDS, signal);
    if (signal.aborted || this.options.hasHeardFromHolder()) return;
    await this.acquire(content, version);
  }

  private async acquire(
    previous: LeaseContent | undefined,
    version: number,
  ): Promise<void> {
    const {clock, logger, handoverDelayMilliseconds} = this.options;
    const startedAt = clock.monotonicMilliseconds();
    const startedWallTime = clock.now().getTime();
    const era = this.observedRow?.era ?? 0;
    const unchangedSince = this.observedRow?.unchangedSince ?? startedAt;
    this.recordEpoch(previous?.epoch ?? 0);
    const epoch = this.highestEpoch + 1;
    const isOwnTerm = this.isOwnTerm(previous, startedAt);
    const outcome = await this.write(epoch, version, {
      released: false,
      active: isOwnTerm,
    });
    this.observedRow = undefined;
    if (outcome.kind !== 'committed' || outcome.era !== era) {
      await sleep(clock, LOST_RACE_PAUSE_MILLISECONDS, this.stopping.signal);
      return;
    }
    const previousOrderAt = this.latestOrderTime(
      previous,
      startedAt,
      unchangedSince,
    );
    this.recordEpoch(epoch);
    this.held = {
      epoch,
      era,
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
      former: previous?.holder,
      actsInMilliseconds: Math.max(
        0,
        Math.round(this.held.ordersAllowedFrom - startedAt),
      ),
    });
  }

  /**
   * Whether no other host can have acted since this one. A restarted host may continue
   * its own term without a handover delay, but only if the delay of that term had
   * already passed.
   */
  private isOwnTerm(
    previous: LeaseContent | undefined,
    startedAt: number,
  ): boolean {
    const {hostId, handoverDelayMilliseconds} = this.options;
    const {resignation} = this;
    if (resignation?.epoch === this.highestEpoch && resignation.isOwn)
      return true;
    // The store may have lost the row of a later holder.
    const settledAt = this.unknownOrderTime(previous);
    if (startedAt < settledAt + handoverDelayMilliseconds) return false;
    return (
      previous === undefined || (previous.holder === hostId && previous.active)
    );
  }

  /** Latest time at which a previous holder can have sent an order. */
  private latestOrderTime(
    previous: LeaseContent | undefined,
    startedAt: number,
    unchangedSince: number,
  ): number {
    const unknownOrderAt = this.unknownOrderTime(previous);
    const {resignation} = this;
    if (resignation !== undefined && resignation.epoch === this.highestEpoch)
      return Math.max(resignation.lastOrderAt, unknownOrderAt);
    if (previous === undefined) return unknownOrderAt;
    if (previous.released) return Math.max(startedAt, unknownOrderAt);
    // The previous holder may send orders for the validity period after its
    // last renewal, which happened no later than the first sight of the row
    // version.
    return Math.max(unchangedSince + VALIDITY_MILLISECONDS, unknownOrderAt);
  }

  /**
   * Latest time at which a holder can have sent an order whose row the store has lost
   * when it came back. Such a holder loses its lease with its next renewal, or by the
   * end of its validity. A row of the current era was written after that.
   */
  private unknownOrderTime(previous: LeaseContent | undefined): number {
    const {storeEra} = this.options;
    const isCurrent = previous?.era === storeEra.current;
    const restoredAt = isCurrent ? storeEra.changedAt : storeEra.since;
    return restoredAt + VALIDITY_MILLISECONDS;
  }

  private async write(
    epoch: number,
    expectedVersion: number,
    {released, active}: {released: boolean; active: boolean},
  ): Promise<WriteOutcome> {
    const {store, hostId, incarnation, scope} = this.options;
    const content: LeaseContent = {
      holder: hostId,
      incarnation,
      epoch,
      era: this.options.storeEra.current,
      released,
      active,
    };
    const outcome = await store.commit([
      {
        table: LEASE_TABLE,
        key: scope,
        value: encodeLease(content),
        expectedVersion,
      },
    ]);
    if (!outcome.ok) {
      this.options.logger.event('leaseWriteFailed', {
        ...this.fields(epoch),
        reason: outcome.error.reason,
        mayHaveHappened: outcome.error.mayHaveHappened,
      });
      return {kind: 'failed'};
    }
    const {era} = outcome.value;
    const {storeEra, clock} = this.options;
    storeEra.observe(era, clock.monotonicMilliseconds());
    if (outcome.value.kind === 'committed') return outcome.value;
    const row = outcome.value.rows.find(({key}) => key === scope);
    const found = row === undefined ? undefined : decodeLease(row.value);
    return {
      kind: 'conflict',
      era,
      row:
        row === undefined || found === undefined
          ? undefined
          : {content: found, version: row.version},
    };
  }

  private fields(epoch: number) {
    return {scope: this.options.scope, epoch};
  }
}

interface LeaseRow {
  readonly content: LeaseContent;
  readonly version: number;
}

type WriteOutcome =
  | {
      readonly kind: 'committed';
      readonly version: number;
      readonly era: number;
    }
  | {
      readonly kind: 'conflict';
      readonly row: LeaseRow | undefined;
      readonly era: number;
    }
  | {readonly kind: 'failed'};
