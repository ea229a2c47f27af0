import type {RowPage} from '../stores/mod.ts';
import {decodeLease, type LeaseContent} from './_lease_content.ts';
import type {LeaseHistory, Observation} from './_lease_history.ts';
import type {PoolLeaseOptions} from './pool_lease_options.ts';

/** Time for which a row must be unchanged before another host may take over. */
const TAKEOVER_MILLISECONDS = 1800;

/** The row of a lease that another host holds or has held. */
export interface WatchedRow {
  readonly content: LeaseContent | undefined;
  readonly version: number;
  /** Era of the store in which the row was read. */
  readonly era: number;
  /** Monotonic time since which the row is known to be unchanged. */
  readonly unchangedSince: number;
  /** Whether another host may take the lease over now. */
  readonly isAvailable: boolean;
}

/** Watches the row of a lease until it may be taken over. */
export class LeaseWatch {
  private observed: Observation | undefined;

  constructor(
    private readonly options: PoolLeaseOptions,
    private readonly history: LeaseHistory,
  ) {}

  /** Forgets what was seen, because the holder has been heard from or replaced. */
  reset(): void {
    this.observed = undefined;
  }

  /** Evaluates the rows of the table of leases. */
  evaluate({
    rows,
    era,
    storeMilliseconds,
  }: Pick<RowPage, 'rows' | 'era' | 'storeMilliseconds'>): WatchedRow {
    const {clock, hostId, scope} = this.options;
    const now = clock.monotonicMilliseconds();
    const row = rows.find(({key}) => key === scope);
    const content = row === undefined ? undefined : decodeLease(row.value);
    const version = row?.version ?? 0;
    const isSeen = (observed: Observation | undefined) =>
      observed?.era === era && observed.version === version;
    if (!isSeen(this.observed)) {
      const {reportedRenewal} = this.history;
      const unchangedSince = now - this.ageOf(content, storeMilliseconds);
      this.observed = isSeen(reportedRenewal)
        ? reportedRenewal
        : {era, version, unchangedSince};
    }
    const unchangedSince = this.observed?.unchangedSince ?? now;
    const isAvailable =
      content === undefined ||
      content.released ||
      this.history.hasResigned(content) ||
      content.holder === hostId ||
      now - unchangedSince >= TAKEOVER_MILLISECONDS;
    return {content, version, era, unchangedSince, isAvailable};
  }

  /**
   * Milliseconds for which a row is known to be unchanged: since the renewal that wrote
   * it, by the store's own clock, if its holder states the time.
   */
  private ageOf(
    content: LeaseContent | undefined,
    storeMilliseconds: number,
  ): number {
    const renewedAt = content?.renewedStoreMilliseconds;
    return renewedAt === undefined ||
      this.options.ordersBySettledEngine !== true
      ? 0
      : Math.max(0, storeMilliseconds - renewedAt);
  }
}
