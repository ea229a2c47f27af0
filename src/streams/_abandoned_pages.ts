import type {Clock} from '../time/mod.ts';
import type {OriginStore, StoredPage, StoredPages} from './origin_store.ts';

/** Options of {@link AbandonedPages}. */
export interface AbandonedPagesOptions {
  store: Pick<OriginStore, 'write'>;
  clock: Clock;
  /** Longest time for which a stream that begins now can be taken up. */
  longestStreamMilliseconds: () => number;
  /** Whether a host is in the list of hosts. */
  isListed: (hostId: string) => boolean;
}

/** Pages of hosts that are gone for good, and whose streams have ended. */
export class AbandonedPages {
  /** Monotonic time since which each host with a page was not listed. */
  private readonly missingSince = new Map<string, number>();

  constructor(private readonly options: AbandonedPagesOptions) {}

  /** Records which hosts are missing, and removes their pages in time. */
  observe({pages}: StoredPages): void {
    const {clock, isListed, store} = this.options;
    const now = clock.monotonicMilliseconds();
    const missing = pages.filter(({hostId}) => !isListed(hostId));
    const missingIds = new Set(missing.map(({hostId}) => hostId));
    for (const hostId of [...this.missingSince.keys()]) {
      if (!missingIds.has(hostId)) this.missingSince.delete(hostId);
    }
    for (const page of missing) {
      const {hostId, version} = page;
      if (!this.missingSince.has(hostId)) this.missingSince.set(hostId, now);
      // A removal that fails is tried again after the next read.
      if (this.has(page)) void store.write(hostId, undefined, version);
    }
  }

  /** Whether no stream of a page can be alive. */
  has({hostId}: StoredPage): boolean {
    const {clock, longestStreamMilliseconds} = this.options;
    const since = this.missingSince.get(hostId);
    return (
      since !== undefined &&
      clock.monotonicMilliseconds() - since > longestStreamMilliseconds()
    );
  }
}
