import type {EventLogger} from '../observability/mod.ts';
import type {StoreClock, StoreEra} from '../stores/mod.ts';
import type {OriginMemory, RememberedStream} from './_origin_memory.ts';
import {
  isSameMode,
  modesEndAt,
  type OriginPage,
  type ServiceMode,
} from './origin_page.ts';

/** Options of {@link PageBuilder}. */
export interface PageBuilderOptions {
  storeClock: StoreClock;
  storeEra: StoreEra;
  logger: EventLogger;
  memory: OriginMemory;
  /** Process that writes the page. */
  incarnation: string;
  /** Software versions of the known endpoints of a service. */
  versionsOf: (service: string) => ReadonlySet<string>;
  /** Longest time for which a stream that begins now can be taken up. */
  longestStreamMilliseconds: () => number;
}

/** Streams in one page; a row of the store has 64 KiB. */
const MAXIMUM_RECORDED = 800;

/**
 * Time for which the modes of a page hold. After the loss of a host they are in doubt for
 * that long; a host writes its page that often, at least every half of it, while streams
 * begin.
 */
const STATEMENT_MILLISECONDS = 60_000;

type FormerMode = OriginPage['former'][number];

/** Builds the page of this host. */
export class PageBuilder {
  private readonly used = new Set<string>();
  private longestLifeMilliseconds = 0;
  private former: readonly FormerMode[] = [];
  private isClosing = false;

  constructor(private readonly options: PageBuilderOptions) {}

  /** Services of which streams have begun here. */
  get services(): readonly string[] {
    return [...this.used];
  }

  /**
   * Records that a stream of a service begins here.
   *
   * @param lifeMilliseconds Time after which its caller does not come back.
   */
  use(service: string, lifeMilliseconds: number): void {
    this.used.add(service);
    // Whole seconds, so that streams that live a little longer need no new page.
    const life = Math.ceil(lifeMilliseconds / 1000) * 1000;
    this.longestLifeMilliseconds = Math.max(this.longestLifeMilliseconds, life);
  }

  /** From now on all streams are recorded, if the page has room for them. */
  close(): void {
    this.isClosing = true;
  }

  /** Versions at which streams may begin here, or may have in a former process. */
  modeOf(service: string): ServiceMode {
    const versions = new Set(this.options.versionsOf(service));
    for (const former of this.former) {
      if (former.service !== service) continue;
      if (former.mode.kind === 'mixed') return {kind: 'mixed'};
      versions.add(former.mode.version);
    }
    const [version] = versions;
    return versions.size === 1 && version !== undefined
      ? {kind: 'single', version}
      : {kind: 'mixed'};
  }

  /**
   * Keeps what the page of a former process says of streams that may still be alive.
   *
   * @param era Era of the store in which the page was read.
   * @param now Time of the store's clock.
   */
  takeOver(page: OriginPage, era: number, now: number): void {
    const {incarnation, memory, storeClock, longestStreamMilliseconds} =
      this.options;
    if (page.writer === incarnation) return;
    for (const [key, version, until] of page.streams) {
      const livesUntil = storeClock.toMonotonic(until);
      if (memory.find(key) === undefined)
        memory.add({key, service: undefined, livesUntil}, version);
    }
    const longestLife = longestStreamMilliseconds();
    const untilStoreMilliseconds = Math.min(
      now + (page.longestLifeMilliseconds ?? longestLife),
      modesEndAt(page, longestLife),
    );
    for (const [service, mode] of Object.entries(page.modes)) {
      const isCurrent = page.era === era;
      const isSilent =
        page.namesAll || (mode.kind === 'mixed' && page.isComplete);
      if (isCurrent && isSilent) continue;
      this.addFormer({
        service,
        // What an older era has stated may have changed in rows that were lost.
        mode: isCurrent ? mode : {kind: 'mixed'},
        untilStoreMilliseconds,
      });
    }
    for (const former of page.former) this.addFormer(former);
  }

  /** A page that is read again says no more of streams that had ended before. */
  private addFormer(former: FormerMode): void {
    const isKnown = this.former.some(
      ({service, mode}) =>
        service === former.service && isSameMode(mode, former.mode),
    );
    if (!isKnown) this.former = [...this.former, former];
  }

  /** Whether the modes of a page end so soon that it is to be written anew. */
  isEnding({statedUntilStoreMilliseconds = 0}: OriginPage, now: number) {
    return statedUntilStoreMilliseconds - now < STATEMENT_MILLISECONDS / 2;
  }

  /** @param now Time of the store's clock. */
  build(now: number): OriginPage {
    this.former = this.former.filter(
      ({untilStoreMilliseconds}) => untilStoreMilliseconds > now,
    );
    const modes = Object.fromEntries(
      this.services.map(service => [service, this.modeOf(service)]),
    );
    const living = this.options.memory.living();
    const namesAll = this.isClosing && living.length <= MAXIMUM_RECORDED;
    const needed = living.filter(stream => namesAll || isNeeded(stream, modes));
    const recorded = needed.slice(-MAXIMUM_RECORDED);
    if (recorded.length < needed.length) {
      this.options.logger.event('streamOriginsDropped', {
        streams: needed.length - recorded.length,
      });
    }
    return {
      writer: this.options.incarnation,
      era: this.options.storeEra.current,
      isComplete: recorded.length === needed.length,
      namesAll,
      modes,
      longestLifeMilliseconds: this.longestLifeMilliseconds,
      statedUntilStoreMilliseconds: now + STATEMENT_MILLISECONDS,
      former: [...this.former],
      streams: recorded.map(({key, version, livesUntil}) => [
        key,
        version,
        Math.ceil(this.options.storeClock.toStore(livesUntil) ?? now),
      ]),
    };
  }
}

/** Whether the mode of its service does not tell the version of a stream. */
function isNeeded(
  {service, version, isMoved}: RememberedStream,
  modes: Readonly<Record<string, ServiceMode>>,
): boolean {
  if (service === undefined || isMoved) return true;
  const mode = modes[service];
  return mode?.kind !== 'single' || mode.version !== version;
}
