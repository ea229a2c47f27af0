import type {EventLogger} from '../observability/mod.ts';
import type {RowStore} from '../stores/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';

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
  turnMilliseconds: number;
  /** Whether another holder has been heard from lately. */
  hearsHolder: () => boolean;
  /** Called when the lease has been acquired. */
  acquired?: () => void;
  /** Number in [0, 1) that spreads the hosts' attempts. */
  random: () => number;
}

/** Table of the leases. */
export const LEASE_TABLE = 'leases';

const RENEWAL_MILLISECONDS = 700;

/** A holder acts this long after the start of its last renewal that succeeded. */
const VALIDITY_MILLISECONDS = 1800;

/** A row that has not changed for this long may be taken over. */
const TAKEOVER_MILLISECONDS = 2300;

const WATCH_MILLISECONDS = 400;

/** Pause of a host that lost a race for the lease. */
const RACE_MILLISECONDS = 600;

interface LeaseContent {
  readonly holder: string;
  readonly incarnation: string;
  readonly epoch: number;
  /** Whether the holder has given the lease up. */
  readonly released: boolean;
  /** Whether the turn of the holder has begun, so that it may have given orders. */
  readonly active: boolean;
}

interface Observation {
  readonly version: number;
  readonly firstSeenAt: number;
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
  private held: {epoch: number; version: number; actsFrom: number} | undefined;
  private renewedAt = Number.NEGATIVE_INFINITY;
  private renewedWallTime = 0;
  private observed: Observation | undefined;

  constructor(private readonly options: PoolLeaseOptions) {}

  /** Fencing number of the lease; undefined when it isn't held. */
  get epoch(): number | undefined {
    return this.held?.epoch;
  }

  /** Whether the holder may give an order now. */
  mayAct(): boolean {
    const {held} = this;
    if (held === undefined) return false;
    const now = this.options.clock.monotonicMilliseconds();
    return now >= held.actsFrom && this.sinceRenewal() < VALIDITY_MILLISECONDS;
  }

  /** Whether the lease is held and renewed, even if its turn has not begun. */
  isHeld(): boolean {
    return (
      this.held !== undefined && this.sinceRenewal() < VALIDITY_MILLISECONDS
    );
  }

  /** Acquires and renews the lease until {@link release}. */
  async run(): Promise<void> {
    const {signal} = this.stopping;
    const {clock} = this.options;
    while (!signal.aborted) {
      if (this.held !== undefined) {
        await this.renew();
        await sleep(clock, RENEWAL_MILLISECONDS, signal);
      } else if (this.options.hearsHolder()) {
        this.observed = undefined;
        await sleep(clock, WATCH_MILLISECONDS, signal);
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
    await this.write(held.epoch, held.version, {
      released: true,
      active: true,
    });
  }

  private sinceRenewal(): number {
    const {clock} = this.options;
    const steady = clock.monotonicMilliseconds() - this.renewedAt;
    const wall = Math.abs(clock.now().getTime() - this.renewedWallTime);
    return Math.max(steady, wall);
  }

  private async renew(): Promise<void> {
    const {clock, logger} = this.options;
    const {held} = this;
    if (held === undefined) return;
    const startedAt = clock.monotonicMilliseconds();
    const startedWallTime = clock.now().getTime();
    const outcome = await this.write(held.epoch, held.version, {
      released: false,
      active: startedAt >= held.actsFrom,
    });
    if (this.held !== held || this.stopping.signal.aborted) return;
    if (outcome.kind === 'committed') {
      this.held = {...held, version: outcome.version};
      this.renewedAt = startedAt;
      this.renewedWallTime = startedWallTime;
      return;
    }
    if (outcome.kind === 'failed') return;
    // The row is another one's, or a renewal without an answer has happened.
    if (outcome.row?.content.incarnation === this.options.incarnation) {
      this.held = {...held, version: outcome.row.version};
      return;
    }
    this.held = undefined;
    logger.event('leaseLost', {
      ...this.fields(held.epoch),
      holder: outcome.row?.content.holder,
    });
  }

  private async tryAcquire(): Promise<void> {
    const {clock, store, random} = this.options;
    const {signal} = this.stopping;
    const page = await store.readTable(LEASE_TABLE);
    const now = clock.monotonicMilliseconds();
    if (signal.aborted) return;
    if (!page.ok) {
      await sleep(clock, WATCH_MILLISECONDS, signal);
      return;
    }
    const row = page.value.rows.find(({key}) => key === this.options.scope);
    const content = row === undefined ? undefined : decodeLease(row.value);
    const version = row?.version ?? 0;
    if (this.observed?.version !== version) {
      this.observed = {version, firstSeenAt: now};
    }
    const isFree =
      content === undefined ||
      content.released ||
      content.holder === this.options.hostId ||
      now - this.observed.firstSeenAt >= TAKEOVER_MILLISECONDS;
    if (!isFree) {
      await sleep(clock, WATCH_MILLISECONDS, signal);
      return;
    }
    await sleep(clock, random() * WATCH_MILLISECONDS, signal);
    if (signal.aborted || this.options.hearsHolder()) return;
    await this.acquire(content, version);
  }

  private async acquire(
    former: LeaseContent | undefined,
    version: number,
  ): Promise<void> {
    const {clock, logger, hostId, turnMilliseconds} = this.options;
    const startedAt = clock.monotonicMilliseconds();
    const startedWallTime = clock.now().getTime();
    const epoch = (former?.epoch ?? 0) + 1;
    const firstSeenAt = this.observed?.firstSeenAt ?? startedAt;
    // A restarted host may go on with its own turn, but not with one that it
    // was still waiting for.
    const isOwnTurn =
      former === undefined || (former.holder === hostId && former.active);
    const outcome = await this.write(epoch, version, {
      released: false,
      active: isOwnTurn,
    });
    this.observed = undefined;
    if (outcome.kind !== 'committed') {
      await sleep(clock, RACE_MILLISECONDS, this.stopping.signal);
      return;
    }
    // The former holder's last order is no later than its validity after the
    // version that was seen first; a released lease has no later order.
    const lastOrderBefore = former?.released
      ? startedAt
      : firstSeenAt + VALIDITY_MILLISECONDS;
    this.held = {
      epoch,
      version: outcome.version,
      actsFrom: isOwnTurn ? startedAt : lastOrderBefore + turnMilliseconds,
    };
    this.renewedAt = startedAt;
    this.renewedWallTime = startedWallTime;
    this.options.acquired?.();
    logger.event('leaseAcquired', {
      ...this.fields(epoch),
      former: former?.holder,
      actsInMilliseconds: Math.max(
        0,
        Math.round(this.held.actsFrom - startedAt),
      ),
    });
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
        value: Buffer.from(JSON.stringify(content)),
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

function decodeLease(value: Buffer | undefined): LeaseContent | undefined {
  if (value === undefined) return undefined;
  try {
    const content = JSON.parse(value.toString()) as Partial<LeaseContent>;
    return {
      holder: content.holder ?? '',
      incarnation: content.incarnation ?? '',
      epoch: content.epoch ?? 0,
      released: content.released ?? false,
      active: content.active ?? true,
    };
  } catch {
    // Only this module writes the row; a damaged one counts as no lease.
    return undefined;
  }
}
