import {sleep} from '../time/mod.ts';
import type {FollowOptions, Row, RowPage} from './row_store.ts';
import {TableLog} from './_table_log.ts';
import type {RowSource} from './row_source.ts';
import type {TableFollowerOptions} from './table_follower_options.ts';
import type {TableUpdate} from './table_update.ts';

/** Shortest delay after a failed call; limits retries to a few per second. */
const RETRY_DELAY_MILLISECONDS = 250;

/**
 * Part of the time left for a change to be known in time that passes before the next
 * call. All hosts of a fleet do this when the store refuses them.
 */
const RETRY_SHARE = 1 / 2;

/** Shortest time-out of a call, however little time is left. */
const MINIMUM_TIMEOUT_MILLISECONDS = 100;

const DEFAULT_KEEPALIVE_MILLISECONDS = 250;

/** Time that a host waits for the first copy of a table from a peer. */
export const INITIAL_WAIT_MILLISECONDS = 2000;

/** Interval at which such a host checks whether it must read the table itself. */
const INITIAL_CHECK_MILLISECONDS = 50;

/** Longest sleep while the copy is fresh; the maximum age can change meanwhile. */
const LONGEST_SLEEP_MILLISECONDS = 500;

/**
 * Follows the changes of one table and resumes after outages of the store.
 *
 * Hundreds of hosts that follow a table alone exceed the store's rate. Each host
 * therefore reads only when its copy is older than its own maximum age, and sends
 * what it has read to its peers. The host with the smallest maximum age reads in
 * practice; when it stops, is cut off or freezes, the copies of the others age
 * and the next one reads. No election is needed, and two readers do no harm.
 */
export class TableFollower {
  private readonly stopController = new AbortController();
  private version: number | undefined;
  /** Era of the store to which the version and the rows belong. */
  private era = 0;
  private readonly rows = new Map<string, Row>();
  private startedAt = 0;
  private freshAt = Number.NEGATIVE_INFINITY;
  /** {@link freshAt} on the store's clock. */
  private knownAt = Number.NEGATIVE_INFINITY;
  /** Version after the last read of this host. */
  private readVersion: number | undefined;
  /** Version up to which peers know what this host has read without a gap. */
  private publishedVersion = 0;
  private publishedAt = Number.NEGATIVE_INFINITY;
  private readonly log: TableLog;

  constructor(private readonly options: TableFollowerOptions) {
    this.log = new TableLog(options);
  }

  /** Monotonic time at which the store last recovered from an outage. */
  get lastRecoveredAt(): number {
    return this.log.lastRecoveredAt;
  }

  /** Follows the table until {@link stop}. */
  async run(): Promise<void> {
    const {clock, pauseMilliseconds} = this.options;
    const {signal} = this.stopController;
    this.startedAt = clock.monotonicMilliseconds();
    while (!signal.aborted) {
      const freshFor = this.freshFor();
      if (freshFor > 0) {
        const delay = Math.ceil(freshFor);
        await sleep(clock, Math.min(delay, LONGEST_SLEEP_MILLISECONDS), signal);
        continue;
      }
      this.recordOwnRead();
      const succeeded = await this.poll();
      const pause = succeeded ? pauseMilliseconds() : this.retryDelay();
      if (pause > 0) await sleep(clock, pause, signal);
    }
  }

  /** Stops once the current call has ended. */
  stop(): void {
    this.stopController.abort();
  }

  /**
   * Applies an update of a peer.
   *
   * @param from Id of the peer, for logs.
   * @returns False if changes before the update are missing here, so that it was
   *   not applied.
   */
  receive(update: TableUpdate, from = ''): boolean {
    const {clock, storeClock, storeEra} = this.options;
    storeEra.observe(update.era, clock.monotonicMilliseconds());
    // Its sender does not know yet what the store has lost.
    if (update.era < storeEra.current) return true;
    const known = update.era === this.era ? this.version : undefined;
    const hasGap = known === undefined || update.afterVersion > known;
    if (hasGap && !update.isComplete) return false;
    storeClock.recordUpdate(update.knownAt);
    if (update.regainedAt !== undefined) {
      this.log.peerRecovered(storeClock.toMonotonic(update.regainedAt));
    }
    const knownAt = storeClock.toMonotonic(update.knownAt);
    const ageMilliseconds = clock.monotonicMilliseconds() - knownAt;
    const source = {origin: from, ageMilliseconds, era: update.era};
    if (update.isComplete) {
      if (known !== undefined && update.version <= known) return true;
      this.enterEra(update.era);
      this.version = update.version;
      this.replaceRows(update.rows);
      this.deliver(() => this.options.onSnapshot(update.rows, source));
    } else {
      this.applyChanges(update.rows, update.version, source);
    }
    this.recordKnown(update.knownAt);
    this.log.supplied(from, update.version, this.freshFor() > 0);
    return true;
  }

  /** The whole table as known here, for a peer that misses changes. */
  content(): TableUpdate | undefined {
    if (this.version === undefined || this.isOutdated) return undefined;
    return {
      table: this.options.table,
      era: this.era,
      afterVersion: 0,
      isComplete: true,
      version: this.version,
      rows: [...this.rows.values()],
      knownAt: this.knownAt,
      regainedAt: this.regainedAt(),
    };
  }

  /** Time until this host must read the store itself; 0 or less if it must now. */
  private freshFor(): number {
    if (this.version === undefined) return this.initialWait();
    const age = this.options.clock.monotonicMilliseconds() - this.freshAt;
    return this.options.maximumAgeMilliseconds() - age;
  }

  private initialWait(): number {
    const {clock, isSupplied} = this.options;
    const waited = clock.monotonicMilliseconds() - this.startedAt;
    const isWaiting =
      waited < INITIAL_WAIT_MILLISECONDS && isSupplied?.() === true;
    return isWaiting ? INITIAL_CHECK_MILLISECONDS : 0;
  }

  /**
   * A host that reads in place of its peers does not wait for changes, since a call
   * without an answer could not be told from one that waits, and ends a call early
   * enough to try again on another connection.
   */
  private followOptions(): FollowOptions {
    const {waitMilliseconds, maximumAgeMilliseconds} = this.options;
    if (maximumAgeMilliseconds() === 0) return {waitMilliseconds};
    const remaining = this.remaining();
    return {
      waitMilliseconds: 0,
      timeoutMilliseconds:
        remaining > 0
          ? Math.max(MINIMUM_TIMEOUT_MILLISECONDS, remaining / 2)
          : undefined,
    };
  }

  /** Delay after a failed call; longer once the bound has passed in any case. */
  private retryDelay(): number {
    const remaining = this.remaining();
    const delay =
      remaining > 0
        ? remaining * RETRY_SHARE
        : this.options.maximumAgeMilliseconds() / 2;
    return Math.max(RETRY_DELAY_MILLISECONDS, delay);
  }

  /** Time until changes that this host does not know yet are late. */
  private remaining(): number {
    const {clock, boundMilliseconds} = this.options;
    return boundMilliseconds - (clock.monotonicMilliseconds() - this.freshAt);
  }

  private async poll(): Promise<boolean> {
    const {store, table, clock} = this.options;
    const knownVersion = this.version;
    const knownEra = this.era;
    const startedAt = clock.monotonicMilliseconds();
    const options = this.followOptions();
    const page =
      knownVersion === undefined
        ? await store.readTable(table)
        : await store.followTable(table, knownVersion, options);
    if (this.stopController.signal.aborted) return true;
    if (!page.ok) {
      this.handleFailure(page.error.kind, page.error.reason);
      return page.error.kind === 'history_lost';
    }
    const {rows, version, era} = page.value;
    this.options.storeEra.observe(era, clock.monotonicMilliseconds());
    this.log.callSucceeded();
    // An answer from before the store came back is late.
    if (era < this.options.storeEra.current) return true;
    if (knownVersion !== undefined && era !== knownEra) {
      // The rows may come from the middle of what was written since the copy.
      if (era !== this.era) this.version = this.readVersion = undefined;
      return true;
    }
    // Peers may have missed updates that this host received in between.
    if (knownVersion !== this.readVersion) {
      this.publishedVersion = knownVersion ?? version;
    }
    this.readVersion = version;
    if (knownVersion === undefined) {
      const isRestored = this.enterEra(era);
      this.version = version;
      this.publishedVersion = version;
      this.recordRead(page.value, startedAt, 0);
      this.replaceRows(rows);
      const source = this.ownSource();
      this.deliver(() => this.options.onSnapshot(rows, source));
      // Shows the peers that they need the whole table.
      if (isRestored) this.publish([], version, version);
      return true;
    }
    // An empty page was written only after the wait, so the table is known up to
    // that time.
    const waited = rows.length === 0 ? options.waitMilliseconds : 0;
    this.recordRead(page.value, startedAt, waited);
    this.publish(rows, version, knownVersion);
    this.applyChanges(rows, version, this.ownSource());
    return true;
  }

  /** Whether the store has come back from an older copy since this one was read. */
  private get isOutdated(): boolean {
    return this.era !== this.options.storeEra.current;
  }

  /**
   * Records the era of the rows that replace the known ones.
   *
   * @returns Whether the store has come back from an older copy.
   */
  private enterEra(era: number): boolean {
    if (era === this.era) return false;
    const isRestored = this.knownAt > Number.NEGATIVE_INFINITY;
    if (isRestored) this.log.restored({era, formerEra: this.era});
    this.era = era;
    this.publishedAt = Number.NEGATIVE_INFINITY;
    return isRestored;
  }

  private applyChanges(
    rows: readonly Row[],
    version: number,
    source: RowSource,
  ): void {
    const known = this.version ?? 0;
    this.version = Math.max(known, version);
    const changed = rows.filter(row => row.version > known);
    for (const row of changed) {
      if (row.value === undefined) this.rows.delete(row.key);
      else this.rows.set(row.key, row);
    }
    if (changed.length === 0) return;
    this.deliver(() => this.options.onChanges(changed, source));
  }

  /** Calls a receiver of rows; its failure must not end the following of the table. */
  private deliver(call: () => void): void {
    try {
      call();
    } catch (error) {
      const {logger, table} = this.options;
      logger.event('unexpectedFailure', {
        table,
        version: this.version,
        reason: error instanceof Error ? error.stack : String(error),
      });
    }
  }

  /**
   * Sends rows that were read after `knownVersion`. What peers supplied since then is
   * not known to all, since their updates may still be on the way.
   */
  private publish(
    rows: readonly Row[],
    version: number,
    knownVersion: number,
  ): void {
    const {publish, isSignificant, table, clock} = this.options;
    if (publish === undefined) return;
    const now = clock.monotonicMilliseconds();
    const significant = rows.filter(row => {
      const known = this.rows.get(row.key);
      const isKnownToAll = known !== undefined && known.version <= knownVersion;
      return isSignificant?.(row, isKnownToAll ? known : undefined) ?? true;
    });
    const keepalive =
      this.options.keepaliveMilliseconds ?? DEFAULT_KEEPALIVE_MILLISECONDS;
    const isDue = now - this.publishedAt >= keepalive;
    if (significant.length === 0 && !isDue) return;
    publish({
      table,
      era: this.era,
      afterVersion: this.publishedVersion,
      isComplete: false,
      version,
      rows: significant,
      knownAt: this.knownAt,
      regainedAt: this.regainedAt(),
    });
    this.publishedVersion = version;
    this.publishedAt = now;
  }

  private replaceRows(rows: readonly Row[]): void {
    this.rows.clear();
    for (const row of rows) this.rows.set(row.key, row);
  }

  private ownSource(): RowSource {
    const now = this.options.clock.monotonicMilliseconds();
    return {
      origin: 'store',
      ageMilliseconds: now - this.freshAt,
      era: this.era,
    };
  }

  /** Logs when this host begins to read for lack of fresh updates. */
  private recordOwnRead(): void {
    const {clock, maximumAgeMilliseconds} = this.options;
    const maximumAge = maximumAgeMilliseconds();
    if (maximumAge === 0 || this.version === undefined) return;
    this.log.updatesLate({
      version: this.version,
      ageMilliseconds: clock.monotonicMilliseconds() - this.freshAt,
      maximumAgeMilliseconds: maximumAge,
    });
  }

  /**
   * Records what a read shows about the age of the copy. The store may have read
   * the rows long before it responded, so they are known as of the start of the
   * call and its wait only.
   */
  private recordRead(page: RowPage, startedAt: number, waited: number): void {
    const {clock, storeClock} = this.options;
    const {storeMilliseconds} = page;
    storeClock.recordCall({startedAt, storeMilliseconds});
    const now = clock.monotonicMilliseconds();
    const knownAt = Math.min(now, startedAt + waited);
    this.freshAt = Math.max(this.freshAt, knownAt);
    this.knownAt = Math.max(this.knownAt, storeMilliseconds - now + knownAt);
  }

  /** Records that the copy is known up to a time of the store's clock. */
  private recordKnown(knownAt: number): void {
    const {storeClock} = this.options;
    this.freshAt = Math.max(this.freshAt, storeClock.toMonotonic(knownAt));
    this.knownAt = Math.max(this.knownAt, knownAt);
  }

  private regainedAt(): number | undefined {
    const {lastRecoveredAt} = this.log;
    return lastRecoveredAt === Number.NEGATIVE_INFINITY
      ? undefined
      : this.options.storeClock.toStore(lastRecoveredAt);
  }

  private handleFailure(kind: string, reason: string): void {
    const {logger, table} = this.options;
    const {version} = this;
    if (kind !== 'history_lost') {
      this.log.callFailed({
        kind,
        reason,
        ...(version === undefined ? {} : {version}),
      });
      return;
    }
    logger.event('tableHistoryLost', {table, after: version});
    this.version = undefined;
  }
}
