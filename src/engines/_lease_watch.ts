import type {RowPage} from '../stores/mod.ts';
import {decodeLease, type LeaseContent} from './_lease_content.ts';
import {isOfOwnEra, type ObservedRow} from './_observed_row.ts';
import type {LeaseHistory, Observation} from './_lease_history.ts';
import type {PoolLeaseOptions} from './pool_lease_options.ts';

/** Time for which a row must be unchanged before another host may take over. */
const TAKEOVER_MILLISECONDS = 1800;

/** A row that was read to find out whether the lease may be acquired. */
export interface WatchedRow extends ObservedRow {
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
    const stored = rows.find(({key}) => key === scope);
    const content = decodeLease(stored?.value);
    const version = stored?.version ?? 0;
    const isSeen = (observed: Observation | undefined) =>
      observed?.era === era && observed.version === version;
    if (!isSeen(this.observed)) {
      const {reportedRenewal} = this.history;
      const unchangedSince = now - this.ageOf(content, era, storeMilliseconds);
      this.observed = isSeen(reportedRenewal)
        ? reportedRenewal
        : {era, version, unchangedSince};
    }
    const unchangedSince = this.observed?.unchangedSince ?? now;
    const row = {content, version, era, unchangedSince};
    const isAvailable =
      version === 0 ||
      this.history.hasResigned(row) ||
      (isOfOwnEra(row) &&
        (row.content.released || row.content.holder === hostId)) ||
      now - unchangedSince >= TAKEOVER_MILLISECONDS;
    return {...row, isAvailable};
  }

  /**
   * Milliseconds for which a row is known to be unchanged: since the renewal that wrote
   * it, by the store's own clock, if its holder states the time. A row of an older era
   * may have been written later than that, by a transaction that was carried out late.
   */
  private ageOf(
    content: LeaseContent | undefined,
    era: number,
    storeMilliseconds: number,
  ): number {
    const renewedAt = content?.renewedStoreMilliseconds;
    return renewedAt === undefined ||
      content?.era !== era ||
      this.options.ordersBySettledEngine !== true
      ? 0
      : Math.max(0, storeMilliseconds - renewedAt);
  }
}
