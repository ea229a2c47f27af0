import type {EndpointRecord, ServiceConfiguration} from '../deployment/mod.ts';
import {ColdEngines} from '../engines/mod.ts';
import {LimitedEndpoints} from '../engines/_limited_endpoints.ts';
import {chooseGranter, EndpointRegistry} from '../fleet/mod.ts';
import {SILENT_LOGGER} from '../observability/mod.ts';
import type {PeerMessage} from '../peers/mod.ts';
import {EndpointLimits, PermitBroker} from '../permits/mod.ts';
import type {RoutedRequest} from '../relay/mod.ts';
import {ManualClock} from './manual_clock.ts';
import {PausableClock} from './pausable_clock.ts';

/** Time after which a host takes a silent one for unconnected; that of `PeerNetwork`. */
const SILENT_MILLISECONDS = 2500;

const LINK_MILLISECONDS = 2;

/** Time in which the others connect again to a host that was frozen. */
const RECONNECT_MILLISECONDS = 900;

const ENGINE = 'engine-1';
const OTHER = 'engine-2';

/** Duration of a cold phase; long enough for a fault in it and its end. */
export const COLD_MILLISECONDS = 12_000;

/** Service of the only engine; its limit is 26 requests in any one second. */
const SERVICE: ServiceConfiguration = {
  name: 'engines',
  connectionLimit: 100,
  engines: undefined,
  coldStart: {durationMilliseconds: COLD_MILLISECONDS, requestsPerSecond: 14},
};

const COLD_ENGINES = {overrun: 1.5, slack: 5} as const;

interface Host {
  readonly index: number;
  readonly clock: PausableClock;
  readonly registry: EndpointRegistry;
  readonly limits: EndpointLimits;
  readonly engines: ColdEngines;
  readonly broker: PermitBroker;
  readonly limited: LimitedEndpoints;
}

/** Hosts without a network that send requests to one engine. */
export class ColdFleet {
  readonly clock = new ManualClock();
  /** Times at which requests reached the engine. */
  readonly sentAt: number[] = [];
  /** Whether connections to the engine fail. */
  isDown = false;
  /** Group of each host; messages between groups are lost from {@link splitAt} on. */
  group: (host: number) => number = () => 0;
  private splitAt = Number.POSITIVE_INFINITY;
  /** Host that a host does not take for a granter yet. */
  hiddenFrom: (host: number) => number | undefined = () => undefined;
  /** Longest time that a request can wait for its first token. */
  objectiveMilliseconds = 500;
  private readonly hosts: Host[] = [];
  private readonly thawedAt = new Map<number, number>();
  private readonly frozenAt = new Map<number, number>();
  private readonly killed = new Set<number>();
  private readonly activeHosts: readonly string[];
  private row: EndpointRecord | undefined;
  private rowVersion = 0;
  private state = 1;

  /** The first hosts are active, the others are their standby hosts. */
  constructor(
    readonly active: number,
    readonly standby: number,
  ) {
    this.activeHosts = Array.from({length: active}, (_, host) => idOf(host));
    for (let host = 0; host < this.size; host++)
      this.hosts.push(this.start(host));
  }

  /** Number of hosts. */
  get size(): number {
    return this.active + this.standby;
  }

  /** Process of the engine that the first host knows. */
  get incarnation(): string {
    return `${ENGINE}/${this.row?.startedAt ?? 0}`;
  }

  /** Gives all hosts the row of another, warm engine of the service. */
  startWithOtherEngine(): void {
    for (const {registry} of this.hosts)
      registry.applySnapshot(new Map([[OTHER, recordOf(OTHER, 1, 1, 0)]]));
  }

  /** Limits that a host knows. */
  limitsOf(host: number): EndpointLimits | undefined {
    return this.hosts[host]?.limits;
  }

  /** Gives a host a rejection in which the engine asks for no requests for a time. */
  close(index: number, milliseconds: number): void {
    const host = this.hosts[index];
    const endpoint = host?.registry.find(ENGINE);
    if (host === undefined || endpoint === undefined) return;
    host.limited.observe(endpoint, {
      notice: {
        coldMilliseconds: undefined,
        requestsPerSecond: undefined,
        isLeaving: false,
        closedMilliseconds: milliseconds,
      },
      sentAt: this.clock.monotonicMilliseconds(),
      isSuccess: false,
    });
  }

  /**
   * Writes the engine's row.
   *
   * @param delayOf Milliseconds until a host gets it; undefined if it never does.
   */
  write(
    startedAt: number,
    coldMilliseconds: number,
    delayOf: (host: number) => number | undefined = () => 0,
  ): void {
    const row = recordOf(
      ENGINE,
      ++this.rowVersion,
      startedAt,
      coldMilliseconds,
    );
    this.row = row;
    for (const host of this.hosts) {
      const delay = delayOf(host.index);
      if (delay === undefined) continue;
      const apply = () =>
        this.hosts[host.index]?.registry.applyChanges(new Map([[ENGINE, row]]));
      if (delay === 0) apply();
      else this.clock.startTimer(delay, apply);
    }
  }

  /**
   * Sends a request through a host if it gets a permit in time.
   *
   * @param hasOther Whether another endpoint takes the request at once.
   */
  async request(index: number, hasOther = index % 3 === 0): Promise<void> {
    const host = this.hosts[index];
    const endpoint = host?.registry.find(ENGINE);
    if (host === undefined || endpoint === undefined) return;
    if (!host.clock.isRunning) return;
    const roomAt = await host.limited.roomAt(
      {
        endpoint,
        request: {
          service: SERVICE,
          route: {objectiveMilliseconds: this.objectiveMilliseconds},
        } as unknown as RoutedRequest,
        waitsUntil: this.clock.monotonicMilliseconds() + 8000,
        hasOther,
      },
      new AbortController().signal,
    );
    if (roomAt !== undefined) return;
    const sentAt = this.clock.monotonicMilliseconds();
    if (this.isDown) {
      host.engines.presume(endpoint);
      return;
    }
    this.sentAt.push(sentAt);
    const {incarnation} = endpoint;
    host.limits.observe({
      incarnation,
      ratePerSecond: undefined,
      sentAt,
      isSuccess: true,
    });
  }

  /** Removes the row of the engine. */
  removeRow(): void {
    for (const {registry} of this.hosts)
      registry.applyChanges(new Map([[ENGINE, undefined]]));
  }

  /** Host that grants the permits while all hosts are connected. */
  get granter(): number {
    return indexOf(this.granterOf(0, this.incarnation) ?? idOf(0));
  }

  freeze(host: number): void {
    this.frozenAt.set(host, this.clock.monotonicMilliseconds());
    this.hosts[host]?.clock.pause();
  }

  /** Loses all messages between groups from now on. */
  split(group: (host: number) => number): void {
    this.splitAt = this.clock.monotonicMilliseconds();
    this.group = group;
  }

  thaw(host: number): void {
    if (!this.frozenAt.has(host)) return;
    this.frozenAt.delete(host);
    this.thawedAt.set(host, this.clock.monotonicMilliseconds());
    this.hosts[host]?.clock.resume();
  }

  kill(host: number): void {
    this.killed.add(host);
    this.hosts[host]?.clock.kill();
  }

  /** Ends a host and starts it anew at once; it reads the current row first. */
  restart(index: number): void {
    this.hosts[index]?.clock.kill();
    const host = this.start(index);
    this.hosts[index] = host;
    host.registry.applySnapshot(new Map([[ENGINE, this.row]]));
  }

  /** Largest number of requests in any one second that begins at a time or later. */
  mostInOneSecond(from = 0): number {
    const sorted = this.sentAt
      .filter(at => at >= from)
      .sort((left, right) => left - right);
    let first = 0;
    let most = 0;
    sorted.forEach((at, last) => {
      while ((sorted[first] ?? at) <= at - 1000) first++;
      most = Math.max(most, last - first + 1);
    });
    return most;
  }

  private start(index: number): Host {
    const clock = new PausableClock(this.clock);
    const registry = new EndpointRegistry({
      clock,
      logger: SILENT_LOGGER,
      maximumConnections: () => 1,
      storeRegainedAt: () => Number.NEGATIVE_INFINITY,
    });
    const limits = new EndpointLimits({
      clock,
      logger: SILENT_LOGGER,
      announce: () => undefined,
    });
    const engines = new ColdEngines({registry, limits, service: () => SERVICE});
    const isActive = index < this.active;
    const broker = new PermitBroker({
      clock,
      limits,
      selfId: idOf(index),
      granter: incarnation => this.granterOf(index, incarnation),
      isStandbyHost: id => indexOf(id) >= this.active,
      grantedShare: () =>
        this.activeHosts.filter(
          id => indexOf(id) === index || this.isConnected(index, indexOf(id)),
        ).length / this.active,
      evenShare: () => 0,
      coldShare: () =>
        isActive
          ? (this.standby === 0 ? 1 : 0.9) / this.active
          : 0.1 / this.standby,
      coldEngines: COLD_ENGINES,
      send: (id, message) => this.send(index, indexOf(id), message),
      random: () => this.random(),
    });
    const limited = new LimitedEndpoints({
      clock,
      registry,
      limits,
      permits: broker,
      coldEngines: engines,
      announceLeaving: () => undefined,
    });
    return {index, clock, registry, limits, engines, broker, limited};
  }

  private granterOf(index: number, incarnation: string): string | undefined {
    const upstream = index % this.active;
    return chooseGranter({
      incarnation,
      selfId: idOf(index),
      isActive: index < this.active,
      upstream: idOf(upstream),
      activeHosts: this.activeHosts.filter(
        id => indexOf(id) !== this.hiddenFrom(index),
      ),
      connected: new Set(
        this.activeHosts.filter(id => this.isConnected(index, indexOf(id))),
      ),
    });
  }

  private isConnected(from: number, to: number): boolean {
    if (this.killed.has(from) || this.killed.has(to)) return false;
    const now = this.clock.monotonicMilliseconds();
    // Each host notices the silence of another one at a moment of its own.
    const silent = SILENT_MILLISECONDS + ((from * 37) % 200);
    const isSplit = this.group(from) !== this.group(to);
    if (isSplit && now - this.splitAt > silent) return false;
    // A host that was frozen takes its connections for alive; the others reconnect later.
    const thawedAt = this.thawedAt.get(to) ?? Number.NEGATIVE_INFINITY;
    if (now - thawedAt < RECONNECT_MILLISECONDS) return false;
    return now - (this.frozenAt.get(to) ?? now) <= silent;
  }

  private send(from: number, to: number, message: PeerMessage): boolean {
    if (!this.isConnected(from, to)) return false;
    if (this.group(from) !== this.group(to)) return true;
    this.clock.startTimer(LINK_MILLISECONDS, () => {
      const target = this.hosts[to];
      target?.clock.run(() => {
        if (message.kind === 'permit_request')
          void target.broker.answer(idOf(from), message);
        if (message.kind === 'permit_reply') target.broker.receive(message);
      });
    });
    return true;
  }

  private random(): number {
    this.state = (this.state * 16_807) % 2_147_483_647;
    return this.state / 2_147_483_647;
  }
}

function idOf(host: number): string {
  return `host-${String(host).padStart(4, '0')}`;
}

function indexOf(id: string): number {
  return Number(id.slice('host-'.length));
}

function recordOf(
  id: string,
  rowVersion: number,
  startedAt: number,
  coldMilliseconds: number,
): EndpointRecord {
  return {
    id,
    rowVersion,
    service: SERVICE.name,
    softwareVersion: 'v1',
    address: '10.0.0.1:80',
    dataCentre: 'zone-a',
    slots: 16,
    state: 'ready',
    startedAt,
    leavesInMilliseconds: undefined,
    coldMilliseconds,
    models: [],
    inMemory: [],
    onDisk: [],
  };
}
