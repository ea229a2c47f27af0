import type {Clock} from '../time/mod.ts';
import type {OriginStore, StoredPage, StoredPages} from './origin_store.ts';

/** Options of {@link AbandonedPages}. */
export interface AbandonedPagesOptions {
  store: Pick<OriginStore, 'write'>;
  clock: Clock;
  /** Longest time for which a stream that begins now can be taken up. */
  longestStreamMilliseconds: () => number;
  /** Ids of the hosts in the list of hosts; undefined until it has been read. */
  listedHosts: () => ReadonlySet<string> | undefined;
}

/**
 * Pages of hosts that are gone for good, and whose streams have ended: the host is not
 * listed, or has not written its page anew although the store has lost some of it.
 */
export class AbandonedPages {
  /** Hosts in the list when it changed last. */
  private listed: ReadonlySet<string> | undefined;
  /** Monotonic time at which the list was first read. */
  private listedSince: number | undefined;
  /** Monotonic time at which hosts have left the list. */
  private readonly goneSince = new Map<string, number>();
  /** Monotonic time since which pages, by host and version, are of an older era. */
  private outdatedSince = new Map<string, number>();

  constructor(private readonly options: AbandonedPagesOptions) {}

  /**
   * Notes which hosts have left. Nothing needs to be read then, so that the first streams
   * that are taken up long after a loss do not wait for another observation.
   */
  hostsChanged(): void {
    const listed = this.options.listedHosts();
    if (listed === undefined) return;
    const now = this.options.clock.monotonicMilliseconds();
    this.listedSince ??= now;
    for (const hostId of this.listed ?? []) {
      if (!listed.has(hostId)) this.goneSince.set(hostId, now);
    }
    for (const [hostId, since] of this.goneSince) {
      // After that time it counts as gone since the list was first read.
      if (listed.has(hostId) || this.haveStreamsEnded(since))
        this.goneSince.delete(hostId);
    }
    this.listed = listed;
  }

  /** Records which pages are suspect, and removes them in time. */
  observe({pages, era}: StoredPages): void {
    const {clock, store} = this.options;
    this.hostsChanged();
    const now = clock.monotonicMilliseconds();
    this.outdatedSince = new Map(
      pages
        .filter(({page}) => page?.era !== era)
        .map(page => {
          const key = keyOf(page);
          return [key, this.outdatedSince.get(key) ?? now];
        }),
    );
    for (const page of pages) {
      // A removal that fails is tried again after the next read.
      if (this.has(page))
        void store.write(page.hostId, undefined, page.version);
    }
  }

  /** Whether no stream of a page can be alive. */
  has(page: StoredPage): boolean {
    const {hostId} = page;
    const isGone = this.listed !== undefined && !this.listed.has(hostId);
    const goneSince = isGone
      ? (this.goneSince.get(hostId) ?? this.listedSince)
      : undefined;
    return (
      this.haveStreamsEnded(goneSince) ||
      this.haveStreamsEnded(this.outdatedSince.get(keyOf(page)))
    );
  }

  /** Whether all streams have ended that had begun before a time. */
  private haveStreamsEnded(since: number | undefined): boolean {
    const {clock, longestStreamMilliseconds} = this.options;
    return (
      since !== undefined &&
      clock.monotonicMilliseconds() - since > longestStreamMilliseconds()
    );
  }
}

function keyOf({hostId, version}: StoredPage): string {
  return `${version} ${hostId}`;
}
