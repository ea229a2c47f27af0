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

/**
 * Pages of hosts that are gone for good, and whose streams have ended: the host is not
 * listed, or has not written its page anew although the store has lost some of it.
 */
export class AbandonedPages {
  /** Monotonic time since which each page, by host and version, has been suspect. */
  private suspectSince = new Map<string, number>();

  constructor(private readonly options: AbandonedPagesOptions) {}

  /** Records which pages are suspect, and removes them in time. */
  observe({pages, era}: StoredPages): void {
    const {clock, isListed, store} = this.options;
    const now = clock.monotonicMilliseconds();
    const suspects = pages.filter(
      ({hostId, page}) => !isListed(hostId) || page?.era !== era,
    );
    this.suspectSince = new Map(
      suspects.map(page => {
        const key = keyOf(page);
        return [key, this.suspectSince.get(key) ?? now];
      }),
    );
    for (const page of suspects) {
      // A removal that fails is tried again after the next read.
      if (this.has(page))
        void store.write(page.hostId, undefined, page.version);
    }
  }

  /** Whether no stream of a page can be alive. */
  has(page: StoredPage): boolean {
    const {clock, longestStreamMilliseconds} = this.options;
    const since = this.suspectSince.get(keyOf(page));
    return (
      since !== undefined &&
      clock.monotonicMilliseconds() - since > longestStreamMilliseconds()
    );
  }
}

function keyOf({hostId, version}: StoredPage): string {
  return `${version} ${hostId}`;
}
