import {Metrics, SILENT_LOGGER} from '../observability/mod.ts';
import type {PeerMessage} from '../peers/mod.ts';
import {type RowStore, StoreClock, StoreEra} from '../stores/mod.ts';
import {OriginStore, StreamOrigins} from '../streams/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import {OriginRows, type StoreAccess} from './origin_rows.ts';
import {PausableClock} from './pausable_clock.ts';

const SERVICE = 'engines';

/** Time after its beginning for which the caller of a stream may come back. */
const STREAM_LIFE_MILLISECONDS = 20_000;

const MESSAGE_MILLISECONDS = 1;

/** Time after which an attempt without an event is given up. */
const ATTEMPT_MILLISECONDS = 60;

/** Time that a planned stop leaves for the last page. */
const STOP_MILLISECONDS = 350;

/** Hosts that keep streams at their software version, over a store and links in memory. */
export class OriginFleet {
  readonly rows: OriginRows;
  readonly hosts = new Map<string, OriginHost>();
  /** Version of each stream of which the caller has got an event. */
  readonly forwarded = new Map<string, string>();
  /** Streams that began although only peers remember them, as the store is away for all. */
  readonly unrecorded = new Set<string>();
  /** Hosts that are listed although they have no process. */
  readonly unreachable = new Set<string>();
  private readonly endsAt = new Map<string, number>();
  /** Hosts without a link to others. */
  readonly isolated = new Set<string>();
  private incarnations = 0;

  constructor(readonly clock: Clock) {
    this.rows = new OriginRows(clock);
  }

  /** Starts a process of a host, in place of the one before. */
  start(hostId: string, ...versions: string[]): OriginHost {
    this.hosts.get(hostId)?.kill();
    const incarnation = `process-${++this.incarnations}`;
    const host = new OriginHost(this, hostId, incarnation, versions);
    this.hosts.set(hostId, host);
    return host;
  }

  /** Notes that the caller of a stream has got an event. */
  forward(key: string, version: string): void {
    this.forwarded.set(key, version);
    const now = this.clock.monotonicMilliseconds();
    this.endsAt.set(key, now + STREAM_LIFE_MILLISECONDS);
  }

  /** Streams that callers may still take up, and that are recorded somewhere. */
  recorded(): readonly string[] {
    const now = this.clock.monotonicMilliseconds();
    return [...this.endsAt]
      .filter(([key, endsAt]) => endsAt > now && !this.unrecorded.has(key))
      .map(([key]) => key);
  }

  /** Ends the process of a host as a planned stop does. */
  async stop(hostId: string): Promise<void> {
    const host = this.hosts.get(hostId);
    await Promise.race([
      host?.origins.close(),
      sleep(this.clock, STOP_MILLISECONDS),
    ]);
    host?.kill();
  }

  /** Ends the process of a host for good, although its row stays. */
  endForGood(hostId: string): void {
    this.hosts.get(hostId)?.kill();
    this.hosts.delete(hostId);
    this.unreachable.add(hostId);
  }

  /** Ends the process of a host for good. */
  remove(hostId: string): void {
    this.hosts.get(hostId)?.kill();
    this.hosts.delete(hostId);
    for (const host of this.hosts.values()) host.hostsChanged();
  }

  /** Delivers a message unless one of the hosts is isolated. */
  send(from: string, to: string, message: PeerMessage): boolean {
    if (!this.areLinked(from, to)) return false;
    this.clock.startTimer(MESSAGE_MILLISECONDS, () => {
      if (this.areLinked(from, to)) this.hosts.get(to)?.receive(from, message);
    });
    return true;
  }

  /** Whether two hosts run and reach each other. */
  areLinked(one: string, other: string): boolean {
    return (
      one !== other &&
      this.hosts.has(one) &&
      this.hosts.has(other) &&
      !this.isolated.has(one) &&
      !this.isolated.has(other)
    );
  }
}

/** A process of a host. */
export class OriginHost {
  /** How the store treats this host. */
  access: StoreAccess = 'served';
  readonly clock: PausableClock;
  readonly origins: StreamOrigins;
  private versions: ReadonlySet<string>;

  constructor(
    private readonly fleet: OriginFleet,
    readonly hostId: string,
    incarnation: string,
    versions: readonly string[],
  ) {
    this.versions = new Set(versions);
    this.clock = new PausableClock(fleet.clock);
    const {clock} = this;
    const storeEra = new StoreEra();
    const storeClock = new StoreClock({clock});
    const store: RowStore = fleet.rows.open(clock, () => this.access);
    this.origins = new StreamOrigins({
      store: new OriginStore({store, clock, storeClock, storeEra}),
      ...{clock, storeClock, storeEra, hostId, incarnation},
      logger: {
        ...SILENT_LOGGER,
        event: (name, fields) => {
          if (name === 'streamOriginUnrecorded')
            fleet.unrecorded.add(String(fields?.['key']));
        },
      },
      metrics: new Metrics(),
      versionsOf: () => this.versions,
      longestStreamMilliseconds: () => 60_000,
      listedHosts: () => new Set([...fleet.hosts.keys(), ...fleet.unreachable]),
      connectedPeers: () =>
        [...fleet.hosts.keys()].filter(id => fleet.areLinked(hostId, id)),
      send: (to, message) => fleet.send(hostId, to, message),
      random: () => 0.5,
    });
  }

  /** Versions of the endpoints that this host knows. */
  get known(): readonly string[] {
    return [...this.versions];
  }

  /** Learns of the endpoints' versions. */
  see(...versions: readonly string[]): void {
    this.clock.run(() => {
      this.versions = new Set(versions);
      this.origins.endpointsChanged();
    });
  }

  /** Learns that the list of hosts has changed. */
  hostsChanged(): void {
    this.clock.run(() => this.origins.hostsChanged());
  }

  /**
   * Begins a stream as the relay does.
   *
   * @param version Version of the endpoint that was chosen.
   * @param tried Versions of endpoints that brought no event before.
   * @returns Whether an event of it was forwarded.
   */
  async begin(
    key: string,
    version: string,
    tried: readonly string[] = [],
  ): Promise<boolean> {
    for (const earlier of tried) {
      void this.origins.begin(this.stream(key), earlier);
      await sleep(this.clock, ATTEMPT_MILLISECONDS);
    }
    const limit = this.origins.beginLimit(SERVICE);
    if (limit.kind === 'none') return false;
    const chosen = limit.kind === 'version' ? limit.version : version;
    if (!this.versions.has(chosen)) return false;
    const mayForward =
      (await this.origins.begin(this.stream(key), chosen)) ?? true;
    if (mayForward && this.clock.isRunning) this.fleet.forward(key, chosen);
    return mayForward;
  }

  /** Returns the version at which a stream goes on here, or why it does not. */
  async find(key: string): Promise<string> {
    const origin = await this.origins.find(this.stream(key));
    return origin.kind === 'known' ? origin.version : origin.kind;
  }

  /** Receives a message of another host. */
  receive(from: string, message: PeerMessage): void {
    this.clock.run(() => {
      if (message.kind === 'origin_request') this.origins.answer(from, message);
      if (message.kind === 'origin_reply') this.origins.receive(from, message);
    });
  }

  /** Ends the process without a word. */
  kill(): void {
    this.clock.kill();
  }

  private stream(key: string) {
    const livesUntil =
      this.clock.monotonicMilliseconds() + STREAM_LIFE_MILLISECONDS;
    return {key, service: SERVICE, livesUntil};
  }
}
