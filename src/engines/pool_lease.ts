import {unreachable} from '../errors/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {RowStore} from '../stores/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import {decodeLease, encodeLease, type LeaseContent} from './_lease_content.ts';

/** Options of {@link PoolLease}. */
export interface PoolLeaseOptions {
  store: RowStore;
  clock: Clock;
  logger: EventLogger;
  hostId: string;
  incarnation: string;
  /** Name of what is held. */
  scope: string;
  /** Time that must pass between the orders of two holders. */
  handoverDelayMilliseconds: number;
  /** Whether another holder has been heard from lately. */
  hasHeardFromHolder: () => boolean;
  /**
   * Tells the other hosts that this one has given the lease up.
   *
   * @param sinceOrder Milliseconds since its last order.
   */
  onResigned?: (epoch: number, sinceOrder: number) => void;
  /** Called when the lease has been acquired. */
  onAcquired?: () => void;
  /** Number in [0, 1) that spreads the hosts' attempts. */
  random: () => number;
}

/** Table of the leases. */
export const LEASE_TABLE = 'leases';

const RENEWAL_MILLISECONDS = 500;

/** Pause after a renewal that failed: ten tries within the validity. */
const RENEWAL_RETRY_MILLISECONDS = 100;

/** A holder acts this long after the start of its last renewal that succeeded. */
const VALIDITY_MILLISECONDS = 1400;

/** A row that has not changed for this long may be taken over. */
const TAKEOVER_MILLISECONDS = 1800;

const POLL_MILLISECONDS = 300;

/** Time after which an order that was sent has arrived or been given up. */
const ORDER_TIMEOUT_MILLISECONDS = 1000;

/** Pause of a host that lost a race for the lease. */
const LOST_RACE_PAUSE_MILLISECONDS = 600;

interface Observation {
  readonly version: number;
  /** Monotonic time since which the row is known not to have changed. */
  readonly unchangedSince: number;
}

/** What a holder tells its peers of its last renewal. */
export interface LeaseRenewal {
  /** Version of the row that the renewal wrote. */
  readonly version: number;
  /** Time since the renewal began; less than the truth after a suspension. */
  readonly sinceMilliseconds: number;
}

/**
 * A lease as a row of the store. The holder proves that it lives by renewing
 * the row; another host takes over a row that it has seen unchanged for longer
 * than the holder may act without a renewal. Durations are taken from the
 * steady clock and from the time of day, whichever is longer, because the
 * steady clock stands still while a host is suspended.
 */
export class PoolLease {
  private readonly stopping = new AbortController();
  private held:
    {epoch: number; version: number; ordersAllowedFrom: number} | undefined;
  private renewedAt = Number.NEGATIVE_INFINITY;
  private renewedWallTime = 0;
  private observedRow: Observation | undefined;
  /** Start of a renewal whose outcome is unknown. */
  private unansweredRenewal:
    {startedAt: number; startedWallTime: number} | undefined;
  private lastOrderAt = Number.NEGATIVE_INFINITY;
  private ordersInFlight = 0;
  /** Last renewal that a holder has told of. */
  private receivedRenewal: Observation | undefined;
  /** A holder that has said that it gives no more orders. */
  private resignation: {epoch: number; lastOrderAt: number} | undefined;

  constructor(private readonly options: PoolLeaseOptions) {}

  /** Fencing number of the lease; undefined when it isn't held. */
  get epoch(): number | undefined {
    return this.held?.epoch;
  }

  /** Whether the holder may give an order now. */
  mayIssueOrders(): boolean {
    const {held} = this;
    if (held === undefined) return false;
    const now = this.options.clock.monotonicMilliseconds();
    return (
      now >= held.ordersAllowedFrom &&
      this.sinceRenewal() < VALIDITY_MILLISECONDS
    );
  }

  /** Whether the lease is held and renewed, even if its turn has not begun. */
  isHeld(): boolean {
    return (
      this.held !== undefined && this.sinceRenewal() < VALIDITY_MILLISECONDS
    );
  }

  /** Notes that an order is sent. */
  beginOrder(): void {
    this.ordersInFlight++;
    this.lastOrderAt = this.options.clock.monotonicMilliseconds();
  }

  /** Notes that an order was answered or given up. */
  endOrder(): void {
    this.ordersInFlight--;
  }

  /** Last renewal of this host's lease; undefined while it isn't held. */
  get renewal(): LeaseRenewal | undefined {
    if (this.held === undefined) return undefined;
    const now = this.options.clock.monotonicMilliseconds();
    // The steady clock alone: a time of day that jumped would let a successor
    // take the renewal for older than it is.
    return {
      version: this.held.version,
      sinceMilliseconds: now - this.renewedAt,
    };
  }

  /**
   * Notes the last renewal of another holder. If the row still has this version
   * when the holder has fallen silent, it has given no order long after it, and
   * a successor need not watch the row first.
   */
  receiveRenewal({version, sinceMilliseconds}: LeaseRenewal): void {
    const now = this.options.clock.monotonicMilliseconds();
    this.receivedRenewal = {version, unchangedSince: now - sinceMilliseconds};
  }

  /** Notes that the holder of an epoch gives no more orders. */
  receiveResignation(epoch: number, sinceOrder: number): void {
    const now = this.options.clock.monotonicMilliseconds();
    this.resignation = {epoch, lastOrderAt: now - sinceOrder};
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

  /** Gives the lease up, so that another host need not wait. */
  async release(): Promise<void> {
    this.stopping.abort();
    const {held} = this;
    this.held = undefined;
    if (held === undefined) return;
    this.options.logger.event('leaseReleased', this.fields(held.epoch));
    this.options.onResigned?.(held.epoch, this.sinceLastOrder());
    await this.write(held.epoch, held.version, {
      released: true,
      active: true,
    });
  }

  /** Negative while an order may still arrive. */
  private sinceLastOrder(): number {
    if (this.ordersInFlight > 0) return -ORDER_TIMEOUT_MILLISECONDS;
    return this.options.clock.monotonicMilliseconds() - this.lastOrderAt;
  }

  private sinceRenewal(): number {
    const {clock} = this.options;
    const monotonic = clock.monotonicMilliseconds() - this.renewedAt;
    const wallClock = Math.abs(clock.now().getTime() - this.renewedWallTime);
    return Math.max(monotonic, wallClock);
  }

  /** @returns Pause before the next renewal, in milliseconds. */
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
        this.held = {...held, version: outcome.version};
        this.renewedAt = startedAt;
        this.renewedWallTime = startedWallTime;
        this.unansweredRenewal = undefined;
        return RENEWAL_MILLISECONDS;
      case 'failed':
        this.unansweredRenewal ??= {startedAt, startedWallTime};
        if (this.isHeld()) return RENEWAL_RETRY_MILLISECONDS;
        this.resign(held.epoch, 'no renewal succeeded in time');
        return RENEWAL_MILLISECONDS;
      case 'conflict':
        return this.handleConflict(held, outcome.row);
      default:
        return unreachable(outcome);
    }
  }

  /** Goes on with a row that an unanswered renewal has written. */
  private handleConflict(
    held: {epoch: number; ordersAllowedFrom: number},
    row: {content: LeaseContent; version: number} | undefined,
  ): number {
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

  private resign(epoch: number, reason: string): void {
    const {logger, onResigned} = this.options;
    this.held = undefined;
    logger.event('leaseLost', {...this.fields(epoch), reason});
    onResigned?.(epoch, this.sinceLastOrder());
  }

  private async tryAcquire(): Promise<void> {
    const {clock, store, random} = this.options;
    const {signal} = this.stopping;
    const page = await store.readTable(LEASE_TABLE);
    const now = clock.monotonicMilliseconds();
    if (signal.aborted) return;
    if (!page.ok) {
      await sleep(clock, POLL_MILLISECONDS, signal);
      return;
    }
    const row = page.value.rows.find(({key}) => key === this.options.scope);
    const content = row === undefined ? undefined : decodeLease(row.value);
    const version = row?.version ?? 0;
    if (this.observedRow?.version !== version) {
      this.observedRow =
        this.receivedRenewal?.version === version
          ? this.receivedRenewal
          : {version, unchangedSince: now};
    }
    const hasResigned =
      content !== undefined && this.resignation?.epoch === content.epoch;
    const isAvailable =
      content === undefined ||
      content.released ||
      hasResigned ||
      content.holder === this.options.hostId ||
      now - this.observedRow.unchangedSince >= TAKEOVER_MILLISECONDS;
    if (!isAvailable) {
      await sleep(clock, POLL_MILLISECONDS, signal);
      return;
    }
    await sleep(clock, random() * POLL_MILLISECONDS, signal);
    if (signal.aborted || this.options.hasHeardFromHolder()) return;
    await this.acquire(content, version);
  }

  private async acquire(
    former: LeaseContent | undefined,
    version: number,
  ): Promise<void> {
    const {clock, logger, hostId, handoverDelayMilliseconds} = this.options;
    const startedAt = clock.monotonicMilliseconds();
    const startedWallTime = clock.now().getTime();
    const epoch = (former?.epoch ?? 0) + 1;
    const unchangedSince = this.observedRow?.unchangedSince ?? startedAt;
    // A restarted host may go on with its own turn, but not with one that it
    // was still waiting for.
    const isOwnTerm =
      former === undefined || (former.holder === hostId && former.active);
    const outcome = await this.write(epoch, version, {
      released: false,
      active: isOwnTerm,
    });
    this.observedRow = undefined;
    if (outcome.kind !== 'committed') {
      await sleep(clock, LOST_RACE_PAUSE_MILLISECONDS, this.stopping.signal);
      return;
    }
    const lastOrderBefore = this.latestOrderTime(
      former,
      startedAt,
      unchangedSince,
    );
    this.held = {
      epoch,
      version: outcome.version,
      ordersAllowedFrom: isOwnTerm
        ? startedAt
        : lastOrderBefore + handoverDelayMilliseconds,
    };
    this.renewedAt = startedAt;
    this.renewedWallTime = startedWallTime;
    this.options.onAcquired?.();
    logger.event('leaseAcquired', {
      ...this.fields(epoch),
      former: former?.holder,
      actsInMilliseconds: Math.max(
        0,
        Math.round(this.held.ordersAllowedFrom - startedAt),
      ),
    });
  }

  /** Latest time at which the former holder can have given an order. */
  private latestOrderTime(
    former: LeaseContent | undefined,
    startedAt: number,
    unchangedSince: number,
  ): number {
    if (this.resignation?.epoch === former?.epoch) {
      return this.resignation?.lastOrderAt ?? startedAt;
    }
    if (former?.released === true) return startedAt;
    // It acts for its validity after its last renewal, which was made before
    // the row was seen unchanged.
    return unchangedSince + VALIDITY_MILLISECONDS;
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
    if (outcome.value.kind === 'committed') return outcome.value;
    const row = outcome.value.rows.find(({key}) => key === scope);
    const found = row === undefined ? undefined : decodeLease(row.value);
    return {
      kind: 'conflict',
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

type WriteOutcome =
  | {readonly kind: 'committed'; readonly version: number}
  | {
      readonly kind: 'conflict';
      readonly row:
        {readonly content: LeaseContent; readonly version: number} | undefined;
    }
  | {readonly kind: 'failed'};
