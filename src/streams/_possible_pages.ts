import type {OriginPage} from './origin_page.ts';
import type {ResumableStream} from './resumable_stream.ts';

/** What a page tells of the version at which a stream of its host has begun. */
export type Testimony =
  /** The right version. */
  | 'confirmed'
  /** Another version. */
  | 'denied'
  /** Nothing, so that pages of other hosts would decide. */
  | 'absent';

/** A stream that begins at this host. */
export interface BegunStream extends ResumableStream {
  /** Whether it was tried at other versions before. */
  readonly isMoved: boolean;
}

/** Time at which a stream begins. */
export interface BeginTime {
  readonly monotonicMilliseconds: number;
  /** Time of the store's clock; undefined if it is not known. */
  readonly storeMilliseconds: number | undefined;
}

/**
 * Pages that the row of this host may contain: the one that was written last, and those
 * whose write may still take effect.
 */
export class PossiblePages {
  private pages: readonly OriginPage[] = [];
  private readonly versionsByPage = new WeakMap<
    OriginPage,
    ReadonlyMap<string, string>
  >();

  /** Records that a page is about to be written. */
  attempt(page: OriginPage): void {
    this.pages = [...this.pages, page];
  }

  /** Records that the write of a page cannot take effect any more. */
  reject(page: OriginPage): void {
    this.pages = this.pages.filter(possible => possible !== page);
  }

  /** Records that a page was written, which defeats the condition of earlier writes. */
  commit(page: OriginPage): void {
    this.pages = [page];
  }

  /** Forgets all pages, since the store may have lost them. */
  clear(): void {
    this.pages = [];
  }

  /** What these pages tell, whichever of them the row contains. */
  testimonyOn(stream: BegunStream, version: string, now: BeginTime): Testimony {
    const testimonies = this.pages.map(page =>
      this.testimonyOf(page, stream, version, now),
    );
    if (testimonies.includes('denied')) return 'denied';
    return testimonies.length === 0 || testimonies.includes('absent')
      ? 'absent'
      : 'confirmed';
  }

  /** The version that all these pages state for the unrecorded streams of a service. */
  commonMode(service: string): string | undefined {
    const versions = new Set(
      this.pages.map(({modes}) => {
        const mode = modes[service];
        return mode?.kind === 'single' ? mode.version : undefined;
      }),
    );
    return versions.size === 1 ? [...versions][0] : undefined;
  }

  private testimonyOf(
    page: OriginPage,
    stream: BegunStream,
    version: string,
    {monotonicMilliseconds, storeMilliseconds}: BeginTime,
  ): Testimony {
    const {key, service, livesUntil} = stream;
    const recorded = this.recordedIn(page).get(key);
    if (recorded !== undefined)
      return recorded === version ? 'confirmed' : 'denied';
    const mode = page.modes[service];
    if (mode?.kind !== 'single' || page.namesAll) return 'absent';
    if (mode.version !== version) return 'denied';
    // A peer may name another version at which it was tried.
    if (stream.isMoved) return 'absent';
    const {longestLifeMilliseconds = 0, statedUntilStoreMilliseconds = 0} =
      page;
    const isCovered =
      livesUntil - monotonicMilliseconds <= longestLifeMilliseconds &&
      storeMilliseconds !== undefined &&
      storeMilliseconds <= statedUntilStoreMilliseconds;
    return isCovered ? 'confirmed' : 'absent';
  }

  private recordedIn(page: OriginPage): ReadonlyMap<string, string> {
    let versions = this.versionsByPage.get(page);
    if (versions === undefined) {
      versions = new Map(page.streams.map(([key, version]) => [key, version]));
      this.versionsByPage.set(page, versions);
    }
    return versions;
  }
}
