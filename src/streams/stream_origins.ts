import type {EventLogger, Metrics} from '../observability/mod.ts';
import type {PeerMessage, PeerMessageOf} from '../peers/mod.ts';
import type {StoreClock, StoreEra} from '../stores/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import {commonVersion} from './_common_version.ts';
import {OriginMemory} from './_origin_memory.ts';
import {PageBuilder} from './_page_builder.ts';
import {PageWriter} from './_page_writer.ts';
import {PeerRecorder, type PendingRecord} from './_peer_recorder.ts';
import {PossiblePages} from './_possible_pages.ts';
import type {OriginPage} from './origin_page.ts';
import type {OriginStore, StoredPages} from './origin_store.ts';
import {AbandonedPages} from './_abandoned_pages.ts';
import {type ResumableStream, UNNAMED_STREAM} from './resumable_stream.ts';

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
  /** Ids of the hosts in the list of hosts; undefined until it has been read. */
  listedHosts: () => ReadonlySet<string> | undefined;
  /** Ids of the hosts with a connection to this one. */
  connectedPeers: () => readonly string[];
  /** Sends a message to a host; false if there is no connection. */
  send: (hostId: string, message: PeerMessage) => boolean;
  /** Returns a number in [0, 1). */
  random: () => number;
}

/** Software versions at which a stream of a service may begin at this host. */
export type BeginLimit =
  | {readonly kind: 'any'}
  /** No other version can be recorded at present. */
  | {readonly kind: 'version'; readonly version: string}
  /** No version can be recorded at present. */
  | {readonly kind: 'none'};

/**
 * Time after which peers are asked to record a stream that this host has not recorded,
 * longer than a write usually takes.
 */
const PEER_DELAY_MILLISECONDS = 100;

/**
 * Time after which a first event is forwarded although peers only remember its stream,
 * since the store is away for them too.
 */
const HELD_MILLISECONDS = 250;

/**
 * Longest time for which a first event waits until its stream is recorded: callers leave
 * after two seconds of silence.
 */
const RECORD_TIMEOUT_MILLISECONDS = 2000;

/** Time after a refusal for which no stream begins that nobody is likely to record. */
const REFUSAL_MILLISECONDS = 1000;

/** Interval at which waiting streams look for peers that remember them. */
const HELD_CHECK_MILLISECONDS = 50;

/** Time after which a peer says that it only remembers streams so far. */
const ANSWER_MILLISECONDS = 60;

/**
 * Knows at which software version streams have begun, so that they go on at no other.
 *
 * While all endpoints of a service have one version, a host states that in its page of
 * the store, once, and records no single stream. As soon as it sees another version, it
 * writes its streams that are still alive into the page, and each new one before the
 * first event of it is forwarded. The origin of a stream is then found in the memory of
 * this host, or in the pages, or follows from all pages stating the same version.
 *
 * No event of a stream is forwarded while the page of this host, in any state that the
 * row may have, tells another version than the one of the stream, or nothing. A host that
 * cannot write its page has its peers record the stream in theirs.
 *
 * A page outlives its process; the next process of the host takes over what may still be
 * alive. With the store away for all hosts, streams begin with evidence in the memory of
 * peers only, and streams of other hosts cannot be taken up.
 */
export class StreamOrigins {
  private readonly memory: OriginMemory;
  private readonly builder: PageBuilder;
  private readonly pages = new PossiblePages();
  private readonly writer: PageWriter;
  private readonly peers: PeerRecorder;
  private readonly abandoned: AbandonedPages;
  /** Streams that wait until they are recorded, and ask peers when a write fails. */
  private readonly waiting = new Set<() => void>();
  /** Monotonic time at which a stream was refused since nobody has recorded it. */
  private refusedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: StreamOriginsOptions) {
    this.memory = new OriginMemory(options.clock);
    this.builder = new PageBuilder({...options, memory: this.memory});
    this.peers = new PeerRecorder(options);
    this.writer = new PageWriter({
      ...options,
      builder: this.builder,
      pages: this.pages,
      onFailure: () => {
        for (const askPeers of this.waiting) askPeers();
      },
    });
    this.abandoned = new AbandonedPages(options);
    options.storeEra.onChange(() => this.writer.storeRestored());
  }

  /** Versions at which a stream of a service can be recorded. */
  beginLimit(service: string): BeginLimit {
    const now = this.options.clock.monotonicMilliseconds();
    if (now - this.refusedAt >= REFUSAL_MILLISECONDS) return {kind: 'any'};
    const version = this.pages.commonMode(service);
    return version === undefined ? {kind: 'none'} : {kind: 'version', version};
  }

  /**
   * Records at which version a stream begins.
   *
   * @returns Whether the stream may be forwarded; undefined if it may be at once.
   */
  begin(
    stream: ResumableStream,
    version: string,
  ): Promise<boolean> | undefined {
    const now = this.options.clock.monotonicMilliseconds();
    this.memory.add(stream, version);
    this.builder.use(stream.service, stream.livesUntil - now);
    if (this.testimonyOn(stream, version) !== 'confirmed')
      return this.record(stream, version);
    this.writer.renewIfEnding();
    return undefined;
  }

  /** Records streams that begin at a peer which cannot write its own page. */
  answer(from: string, {id, streams}: PeerMessageOf<'origin_request'>): void {
    const {clock, send} = this.options;
    const now = clock.monotonicMilliseconds();
    for (const {key, softwareVersion, lifeMilliseconds} of streams) {
      const livesUntil = now + lifeMilliseconds;
      this.memory.add({key, service: undefined, livesUntil}, softwareVersion);
    }
    const reply = (state: 'recorded' | 'held') =>
      send(from, {kind: 'origin_reply', id, state});
    const cancel = clock.startTimer(ANSWER_MILLISECONDS, () => reply('held'));
    void this.writer.write().then(() => {
      cancel();
      reply('recorded');
    });
  }

  /** Handles the answer of a peer to a request of this host. */
  receive(from: string, reply: PeerMessageOf<'origin_reply'>): void {
    this.peers.receive(from, reply);
  }

  /** Finds the version at which a stream has begun. */
  async find(stream: ResumableStream): Promise<StreamOrigin> {
    const remembered = this.memory.find(stream.key);
    if (remembered?.service !== undefined)
      return this.found('memory', remembered.version);
    const stored = await this.options.store.read();
    if (stored === undefined) return this.count({kind: 'unavailable'});
    this.abandoned.observe(stored);
    const recorded = recordedVersions(stored, stream.key);
    if (remembered !== undefined) recorded.add(remembered.version);
    const [version] = recorded;
    // Attempts that brought no event may have been recorded at other versions.
    if (recorded.size > 1) return this.count({kind: 'unknown'});
    if (version !== undefined) {
      this.memory.add(stream, version);
      return this.found('page', version);
    }
    const isNamed = stream.key !== UNNAMED_STREAM;
    const common = commonVersion(this.relevantPages(stored, isNamed), {
      service: stream.service,
      isNamed,
      era: stored.era,
      storeMilliseconds: this.storeNow(),
      longestLifeMilliseconds: this.options.longestStreamMilliseconds(),
    });
    return common === undefined
      ? this.count({kind: 'unknown'})
      : this.found('common', common);
  }

  /** Called when endpoints have changed. */
  endpointsChanged(): void {
    this.writer.writeIfOutdated();
  }

  /** Called when the list of hosts has changed. */
  hostsChanged(): void {
    this.abandoned.hostsChanged();
  }

  /**
   * Names all streams that may still be taken up in the page, as no more will begin here.
   * The page then tells of no others.
   */
  async close(): Promise<void> {
    this.builder.close();
    if (this.builder.services.length > 0) await this.writer.write();
  }

  private async record(
    stream: ResumableStream,
    version: string,
  ): Promise<boolean> {
    const {clock, logger, metrics} = this.options;
    const startedAt = clock.monotonicMilliseconds();
    const settled = new AbortController();
    const countRecord = (by: string) =>
      metrics.increment('limpetdale_stream_records_total', {by});
    let byPeers: PendingRecord | undefined;
    let isRecorded = false;
    const succeed = (by: 'page' | 'peer') => {
      if (!settled.signal.aborted) countRecord(by);
      isRecorded = true;
      this.refusedAt = Number.NEGATIVE_INFINITY;
      settled.abort();
    };
    const askPeers = () => {
      if (byPeers !== undefined || settled.signal.aborted) return;
      byPeers = this.peers.record(stream, version);
      void byPeers.recorded.then(() => succeed('peer'));
    };
    this.waiting.add(askPeers);
    if (this.writer.isFailing) askPeers();
    void this.writer.write().then(() => succeed('page'));
    const waited = () => clock.monotonicMilliseconds() - startedAt;
    const isHeld = () =>
      waited() >= HELD_MILLISECONDS &&
      byPeers?.isHeld() === true &&
      // What is in the store counts for whoever can read it.
      this.testimonyOn(stream, version) !== 'denied';
    while (!isRecorded && !isHeld() && waited() < RECORD_TIMEOUT_MILLISECONDS) {
      await sleep(clock, HELD_CHECK_MILLISECONDS, settled.signal);
      if (waited() >= PEER_DELAY_MILLISECONDS) askPeers();
      // A write that could have changed what the page tells has been refused.
      if (this.testimonyOn(stream, version) === 'confirmed') succeed('page');
    }
    const mayBegin = isRecorded || isHeld();
    settled.abort();
    this.waiting.delete(askPeers);
    byPeers?.cancel();
    metrics.recordDuration('limpetdale_stream_origin_write_seconds', waited());
    if (isRecorded) return true;
    countRecord(mayBegin ? 'peer_memory' : 'nobody');
    const {key, service} = stream;
    if (!mayBegin) this.refusedAt = clock.monotonicMilliseconds();
    logger.event(mayBegin ? 'streamOriginUnrecorded' : 'streamOriginRefused', {
      ...{key, service, version},
    });
    return mayBegin;
  }

  private testimonyOn(stream: ResumableStream, version: string) {
    const isMoved = this.memory.find(stream.key)?.isMoved ?? false;
    return this.pages.testimonyOn({...stream, isMoved}, version, {
      monotonicMilliseconds: this.options.clock.monotonicMilliseconds(),
      storeMilliseconds: this.storeNow(),
    });
  }

  /**
   * Pages that tell of a stream; undefined for one that cannot be read. This process
   * remembers the named streams that have begun here.
   */
  private relevantPages(
    {pages}: StoredPages,
    isNamed: boolean,
  ): readonly (OriginPage | undefined)[] {
    const {hostId, incarnation} = this.options;
    return pages
      .filter(stored => !this.abandoned.has(stored))
      .map(stored => {
        const {page} = stored;
        const isOwn = stored.hostId === hostId && page?.writer === incarnation;
        return isOwn && isNamed ? {...page, modes: {}} : page;
      });
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

/** Versions under which pages name a stream. */
function recordedVersions({pages}: StoredPages, key: string): Set<string> {
  const entries = pages.map(({page}) =>
    page?.streams.find(([recorded]) => recorded === key),
  );
  return new Set(entries.flatMap(entry => entry?.[1] ?? []));
}
