import type {EventLogger} from '../observability/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Options of {@link TableLog}. */
export interface TableLogOptions {
  table: string;
  clock: Clock;
  logger: EventLogger;
}

/** Age of a copy when a host begins to read in place of its peers. */
export interface LateCopy {
  readonly version: number;
  readonly ageMilliseconds: number;
  readonly maximumAgeMilliseconds: number;
}

/** Logs when one table loses and regains the store or the updates of peers. */
export class TableLog {
  private unavailableSince: number | undefined;
  private recoveredAt = Number.NEGATIVE_INFINITY;
  /** Peer that has sent the last applied update. */
  private supplier: string | undefined;
  private readsInTheirPlace = false;

  constructor(private readonly options: TableLogOptions) {}

  /** Monotonic time at which the store last recovered; -Infinity if it never failed. */
  get lastRecoveredAt(): number {
    return this.recoveredAt;
  }

  /** Records that a peer knows of a recovery of the store at a monotonic time. */
  peerRecovered(at: number): void {
    this.recoveredAt = Math.max(this.recoveredAt, at);
  }

  /** Records a failed call. */
  callFailed(failure: {kind: string; reason: string; version?: number}): void {
    if (this.unavailableSince !== undefined) return;
    const {logger, table, clock} = this.options;
    this.unavailableSince = clock.monotonicMilliseconds();
    logger.event('storeLost', {table, ...failure});
  }

  /** Records a call that the store has answered. */
  callSucceeded(): void {
    if (this.unavailableSince === undefined) return;
    const {logger, table, clock} = this.options;
    this.recoveredAt = clock.monotonicMilliseconds();
    logger.event('storeRegained', {
      table,
      lostForMilliseconds: Math.round(this.recoveredAt - this.unavailableSince),
    });
    this.unavailableSince = undefined;
  }

  /** Records that the store has come back from an older copy. */
  restored(eras: {era: number; formerEra: number}): void {
    const {clock, logger, table} = this.options;
    this.recoveredAt = clock.monotonicMilliseconds();
    logger.event('storeRestored', {table, ...eras});
  }

  /** Records that this host reads because the updates of its peers are late. */
  updatesLate(copy: LateCopy): void {
    if (this.readsInTheirPlace) return;
    this.readsInTheirPlace = true;
    const {logger, table} = this.options;
    logger.event('tableUpdatesLate', {
      table,
      supplier: this.supplier,
      ...copy,
      ageMilliseconds: Math.round(copy.ageMilliseconds),
    });
  }

  /** Records an update of a peer, which may make the copy fresh again. */
  supplied(from: string, version: number, isFresh: boolean): void {
    this.supplier = from;
    if (!this.readsInTheirPlace || !isFresh) return;
    this.readsInTheirPlace = false;
    const {logger, table} = this.options;
    logger.event('tableUpdatesResumed', {table, version, supplier: from});
  }
}
