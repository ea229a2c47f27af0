import type {EventLogger, Metrics} from '../observability/mod.ts';
import type {StoreClock, StoreEra} from '../stores/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import {commonVersion} from './_common_version.ts';
import {OriginMemory} from './_origin_memory.ts';
import {PageBuilder} from './_page_builder.ts';
import type {OriginStore, StoredPage, StoredPages} from './origin_store.ts';
import {AbandonedPages} from './_abandoned_pages.ts';
import {isSameMode, type OriginPage} from './origin_page.ts';

/** A stream that callers can take up again. */
export interface ResumableStream {
  /** Identity over all tries of its caller. */
  readonly key: string;
  readonly service: string;
  /** Monotonic time after which its caller does not come back. */
  readonly livesUntil: number;
}

/** What is known of the software version at which a stream has begun. */
export type StreamOrigin =
  | {readonly kind: 'known'; readonly version: string}
  /** Nobody can tell any more. */
  | {readonly kind: 'unknown'}
  /** The store gave no answer, so that it may be found out later. */
  | {readonly kind: 'unavailable'};

/** Options of {@link StreamOrigins}. */
export interface StreamOriginsOptions {
  store: OriginStore;
  clock: Clock;
  storeClock: StoreClock;
  storeEra: StoreEra;
  logger: EventLogger;
  metrics: Metrics;
  hostId: string;
  /** Identity of this process. */
  incarnation: string;
  /** Software versions of the known endpoints of a service, also of leaving ones. */
  versionsOf: (service: string) => ReadonlySet<string>;
  /** Longest time for which a stream that begins now can be taken up. */
  longestStreamMilliseconds: () => number;
  /** Whether a host is in the list of hosts. */
  isListed: (hostId: string) => boolean;
}

/** Time in which streams are collected before they are written together. */
const GROUP_MILLISECONDS = 15;

/** Delay before a failed write is retried. */
const RETRY_MILLISECONDS = 250;

/** Longest time for which a first event waits until its stream is recorded. */
const RECORD_TIMEOUT_MILLISECONDS = 250;

interface Waiter {
  readonly resolve: () => void;
}

/**
 * Knows at which software version streams have begun, so that they go on at no other.
 *
 * While all endpoints of a service have one version, a host states that in its page of
 * the store, once, and records no single stream. As soon as it sees another version, it
 * writes its streams that are still alive into the page, and each new one before the
 * first event of it is forwarded. The origin of a stream is then found in the memory of
 * this host, or in the pages, or follows from all pages stating the same version.
 *
 * A page outlives its process; the next process of the host takes over what may still be
 * alive. With the store away, streams begin with evidence in memory only, and streams of
 * other hosts cannot be taken up.
 */
export class StreamOrigins {
  private readonly memory: OriginMemory;
  private readonly builder: PageBuilder;
  private readonly abandoned: AbandonedPages;
  /** Streams that wait until they are recorded. */
  private waiters: Waiter[] = [];
  private isWriting = false;
  /** Whether what the page states has changed since it was last built. */
  private isOutdated = false;
  /** Page as the store has it; undefined until this process has written it. */
  private durable: OriginPage | undefined;
  /** Version of the row; undefined until it is known. */
  private rowVersion: number | undefined;

  constructor(private readonly options: StreamOriginsOptions) {
    this.memory = new OriginMemory(options.clock);
    this.builder = new PageBuilder({...options, memory: this.memory});
    this.abandoned = new AbandonedPages(options);
    options.storeEra.onChange(() => {
      // The store may have lost the page, or brought an older one back.
      this.rowVersion = undefined;
      if (this.durable === undefined) return;
      this.durable = undefined;
      this.writeSoon();
    });
  }

  /**
   * Records at which version a stream begins.
   *
   * @returns Settles when the stream may be forwarded; undefined if it may be at once.
   */
  begin(stream: ResumableStream, version: string): Promise<void> | undefined {
    const earlier = this.memory.find(stream.key);
    this.memory.add(stream, version);
    this.builder.use(stream.service);
    if (this.isCovered(stream.service, version)) return undefined;
    const isMoved = earlier !== undefined && earlier !== version;
    return this.record(stream, isMoved);
  }

  /** Finds the version at which a stream has begun. */
  async find(stream: ResumableStream): Promise<StreamOrigin> {
    const remembered = this.memory.find(stream.key);
    if (remembered !== undefined) return this.found('memory', remembered);
    const stored = await this.options.store.read();
    if (stored === undefined) return this.count({kind: 'unavailable'});
    this.abandoned.observe(stored);
    const pages = stored.pages.filter(page => !this.abandoned.has(page));
    const others = pages.map(page => this.withoutOwnModes(page));
    const recorded = findRecorded(stored, stream.key);
    if (recorded !== undefined) {
      this.memory.add(stream, recorded);
      return this.found('page', recorded);
    }
    const now = this.storeNow();
    const version = commonVersion(others, stream.service, {
      era: stored.era,
      storeMilliseconds: now,
    });
    return version === undefined
      ? this.count({kind: 'unknown'})
      : this.found('common', version);
  }

  /** Called when endpoints have changed. */
  endpointsChanged(): void {
    const isOutdated = this.builder.services.some(service => {
      const stated = this.durable?.modes[service];
      const mode = this.builder.modeOf(service);
      return stated !== undefined && !isSameMode(stated, mode);
    });
    if (isOutdated) this.writeSoon();
  }

  /** Whether the page that the store has tells the version of an unrecorded stream. */
  private isCovered(service: string, version: string): boolean {
    const stated = this.durable?.modes[service];
    return (
      stated?.kind === 'single' &&
      stated.version === version &&
      isSameMode(stated, this.builder.modeOf(service))
    );
  }

  /**
   * @param isMoved Whether the page may state another version, at which the stream was
   *     tried before it began. It is not forwarded then before it is recorded.
   */
  private async record(
    {key, service}: ResumableStream,
    isMoved: boolean,
  ): Promise<void> {
    const {clock, logger} = this.options;
    const timeout = new AbortController();
    const startedAt = clock.monotonicMilliseconds();
    let isRecorded = false;
    const written = new Promise<void>(resolve => {
      this.waiters.push({resolve});
    }).then(() => {
      isRecorded = true;
      timeout.abort();
    });
    this.writeSoon();
    const timedOut = sleep(clock, RECORD_TIMEOUT_MILLISECONDS, timeout.signal);
    await (isMoved ? written : Promise.race([written, timedOut]));
    const waited = clock.monotonicMilliseconds() - startedAt;
    this.options.metrics.recordDuration(
      'limpetdale_stream_origin_write_seconds',
      waited,
    );
    if (!isRecorded) logger.event('streamOriginUnrecorded', {key, service});
  }

  private writeSoon(): void {
    this.isOutdated = true;
    if (this.isWriting) return;
    this.isWriting = true;
    void this.writeUntilCurrent().finally(() => {
      this.isWriting = false;
    });
  }

  private async writeUntilCurrent(): Promise<void> {
    const {clock} = this.options;
    while (this.isOutdated) {
      await sleep(clock, GROUP_MILLISECONDS);
      const {waiters} = this;
      this.waiters = [];
      this.isOutdated = false;
      if (await this.writeOnce()) {
        for (const {resolve} of waiters) resolve();
        continue;
      }
      this.waiters.unshift(...waiters);
      this.isOutdated = true;
      await sleep(clock, RETRY_MILLISECONDS);
    }
  }

  /** @returns Whether the store has the page. */
  private async writeOnce(): Promise<boolean> {
    const {store, hostId, logger} = this.options;
    if (this.rowVersion === undefined && !(await this.takeOver())) return false;
    const now = this.storeNow();
    if (now === undefined || this.rowVersion === undefined) return false;
    const page = this.builder.build(now);
    const outcome = await store.write(hostId, page, this.rowVersion);
    if (!outcome.ok) {
      logger.event('streamPageWriteFailed', {...outcome.error});
      // It may have been written, or be written later.
      if (outcome.error.mayHaveHappened) this.rowVersion = undefined;
      return false;
    }
    if (outcome.value.kind === 'conflict') {
      this.rowVersion = undefined;
      return this.writeOnce();
    }
    this.rowVersion = outcome.value.version;
    this.durable = page;
    return true;
  }

  /** Reads the page of this host that another process or a late write has left. */
  private async takeOver(): Promise<boolean> {
    const {hostId} = this.options;
    const stored = await this.options.store.read();
    if (stored === undefined) return false;
    const own = stored.pages.find(page => page.hostId === hostId);
    this.rowVersion = own?.version ?? 0;
    const now = this.storeNow();
    if (own?.page !== undefined && now !== undefined)
      this.builder.takeOver(own.page, stored.era, now);
    return true;
  }

  /** This process remembers its own streams, so its modes tell nothing of others. */
  private withoutOwnModes(stored: StoredPage): StoredPage {
    const {hostId, incarnation} = this.options;
    const {page} = stored;
    const isOwn = stored.hostId === hostId && page?.writer === incarnation;
    return isOwn ? {...stored, page: {...page, modes: {}}} : stored;
  }

  private found(source: string, version: string): StreamOrigin {
    this.options.metrics.increment('limpetdale_stream_origins_total', {source});
    return {kind: 'known', version};
  }

  private count(origin: StreamOrigin): StreamOrigin {
    const {metrics} = this.options;
    metrics.increment('limpetdale_stream_origins_total', {source: origin.kind});
    return origin;
  }

  private storeNow(): number | undefined {
    const {clock, storeClock} = this.options;
    return storeClock.toStore(clock.monotonicMilliseconds());
  }
}

function findRecorded({pages}: StoredPages, key: string): string | undefined {
  for (const {page} of pages) {
    const entry = page?.streams.find(([recorded]) => recorded === key);
    if (entry !== undefined) return entry[1];
  }
  return undefined;
}
