import type {EndpointRecord} from '../deployment/mod.ts';
import {
  decodeHostRow,
  type EndpointRegistry,
  type EvacuatedDataCentres,
  type HostRegistry,
  type HostRow,
} from '../fleet/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import {
  type Row,
  type RowSource,
  type StoreClock,
  type StoreEra,
  TableFollower,
  type TableUpdate,
} from '../stores/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import type {ConfigurationSource} from './configuration_source.ts';
import {HOST_TABLE} from './host_registration.ts';
import type {PlatformAdapter} from './platform_adapter.ts';
import {ReturningHosts} from './returning_hosts.ts';

/** Options of {@link StoreFollowers}. */
export interface StoreFollowersOptions {
  platform: PlatformAdapter;
  clock: Clock;
  storeClock: StoreClock;
  storeEra: StoreEra;
  logger: EventLogger;
  configuration: ConfigurationSource;
  endpoints: EndpointRegistry;
  hosts: HostRegistry;
  evacuations: EvacuatedDataCentres;
  /** Time within which a leaving endpoint must get no new requests. */
  drainMilliseconds: number;
  /** Time within which a new configuration must be applied. */
  configurationMilliseconds: number;
  /** Whether the deployment starts for the first time. */
  isFirstStart: boolean;
  /** Time for all hosts of a new deployment to register. */
  registrationMilliseconds: number;
  /** Whether this host manages a pool and needs endpoint changes immediately. */
  managesPool: () => boolean;
  /** Returns the rank of this host among the active ones; undefined on a standby host. */
  rank: () => number | undefined;
  random: () => number;
  /** Whether this host has a connection to another one. */
  isConnected: (hostId: string) => boolean;
  /** Sends changes that this host has read to its peers. */
  publish: (update: TableUpdate) => void;
  onEndpointsChanged: () => void;
}

/** Share of a bound by which the maximum age grows with each rank. */
const RANK_SHARE = 0.03;

/**
 * Bound of that growth. A host whose reader and upstream host are both gone, as in a
 * rolling restart, still has almost half of the time for its own read.
 */
const MAXIMUM_RANK_SHARE = 0.15;

/** Content that stands for an endpoint without a usable row. */
const REMOVED_ENDPOINT = '';

/** Rank that standby hosts count as; larger than that of most active hosts. */
const STANDBY_RANK = 10;

/** Long-poll time of a configuration request, as a share of its bound. */
const CONFIGURATION_WAIT_SHARE = 0.25;

/** Maximum age of the configuration on the second-ranked host, likewise. */
const CONFIGURATION_AGE_SHARE = 0.4;

/** Maximum age of the endpoints on that host, as a share of the time to drain. */
const ENDPOINT_AGE_SHARE = 0.3;

/** Long-poll time of an endpoint request; each heartbeat of an endpoint is a change. */
const ENDPOINT_WAIT_MILLISECONDS = 500;

/** Pause between endpoint requests, as a share of the time in which to drain. */
const ENDPOINT_PAUSE_SHARE = 0.1;

/** Pause between endpoint requests on a host that manages a pool, by endpoint. */
const MANAGER_PAUSE_PER_ENDPOINT_MILLISECONDS = 2;

/** Bounds of that pause: what a load from memory may be noticed late by. */
const MANAGER_PAUSE_RANGE_MILLISECONDS = {minimum: 20, maximum: 200} as const;

/** Long-poll time of a host request; hosts change only when one starts or leaves. */
const HOST_WAIT_MILLISECONDS = 5000;

/** Pause between host requests; many hosts start at the same time. */
const HOST_PAUSE_MILLISECONDS = 300;

/** Age of the list of hosts at which a host reads it itself. */
const HOST_MAXIMUM_AGE_MILLISECONDS = 12_000;

/** Age at which hosts that have left or returned change the roles too late. */
const HOST_BOUND_MILLISECONDS = 15_000;

/**
 * Period over which the first reads of the hosts of a new deployment are spread,
 * as a share of the time that they get to register.
 */
const FIRST_READ_SPREAD = 1 / 3;

/**
 * Follows the tables of the configuration, the endpoints and the hosts.
 *
 * The best-ranked active host reads; the others are supplied by its updates and
 * read themselves, one rank after the other, when these stop. All bounds are
 * shares of the time in which a change must take effect.
 */
export class StoreFollowers {
  private readonly configuration: TableFollower;
  private readonly endpoints: TableFollower;
  private readonly hosts: TableFollower;
  private readonly returningHosts: ReturningHosts;
  private readonly stopController = new AbortController();
  /** Keys of the endpoints' rows that were logged as unreadable. */
  private readonly unreadableKeys = new Set<string>();

  constructor(private readonly options: StoreFollowersOptions) {
    const {platform, clock, storeClock, storeEra, logger, publish} = options;
    const {drainMilliseconds, configurationMilliseconds} = options;
    this.returningHosts = new ReturningHosts(options);
    const common = {
      store: platform.store,
      clock,
      storeClock,
      storeEra,
      logger,
      publish,
    };
    // Standby hosts get their first copies from their upstream host. Until the
    // hosts are known, this host may become one.
    const isSupplied = () => options.rank() === undefined;
    this.configuration = new TableFollower({
      ...common,
      table: platform.configurationTable,
      isSupplied,
      waitMilliseconds: configurationMilliseconds * CONFIGURATION_WAIT_SHARE,
      pauseMilliseconds: () => 0,
      maximumAgeMilliseconds: () =>
        this.maximumAge(configurationMilliseconds, CONFIGURATION_AGE_SHARE),
      boundMilliseconds: configurationMilliseconds,
      onSnapshot: (rows, source) => {
        // Before the configuration, which makes this host ready for requests.
        const evacuated = new Set(this.decodeEvacuations(rows).keys());
        const hasChanged = options.evacuations.applySnapshot(evacuated, source);
        if (hasChanged) options.onEndpointsChanged();
        this.applyConfiguration(rows, source);
      },
      onChanges: (rows, source) => {
        const changes = this.decodeEvacuations(rows);
        const hasChanged = options.evacuations.applyChanges(changes, source);
        if (hasChanged) options.onEndpointsChanged();
        this.applyConfiguration(rows, source);
      },
    });
    this.endpoints = new TableFollower({
      ...common,
      table: platform.endpointTable,
      isSupplied,
      waitMilliseconds: ENDPOINT_WAIT_MILLISECONDS,
      pauseMilliseconds: () => this.endpointPause(),
      maximumAgeMilliseconds: () =>
        options.managesPool()
          ? 0
          : this.maximumAge(drainMilliseconds, ENDPOINT_AGE_SHARE),
      boundMilliseconds: drainMilliseconds,
      keepaliveMilliseconds: drainMilliseconds * ENDPOINT_PAUSE_SHARE,
      isSignificant: (row, previous) =>
        this.isSignificantEndpoint(row, previous),
      onSnapshot: (rows, {era}) => {
        options.endpoints.applySnapshot(this.decodeEndpoints(rows), era);
        options.onEndpointsChanged();
      },
      onChanges: (rows, {era}) => {
        options.endpoints.applyChanges(this.decodeEndpoints(rows), era);
        options.onEndpointsChanged();
      },
    });
    this.hosts = new TableFollower({
      ...common,
      table: HOST_TABLE,
      waitMilliseconds: HOST_WAIT_MILLISECONDS,
      pauseMilliseconds: () => HOST_PAUSE_MILLISECONDS,
      maximumAgeMilliseconds: () =>
        this.maximumAge(HOST_MAXIMUM_AGE_MILLISECONDS, 1),
      boundMilliseconds: HOST_BOUND_MILLISECONDS,
      onSnapshot: rows => {
        options.hosts.applySnapshot(
          [...this.decodeHosts(rows).values()].filter(row => row !== undefined),
        );
        this.returningHosts.expect();
      },
      onChanges: rows => options.hosts.applyChanges(this.decodeHosts(rows)),
    });
  }

  /** Monotonic time at which the store responded again after an outage. */
  get storeRegainedAt(): number {
    return this.endpoints.lastRecoveredAt;
  }

  /** Follows all tables until {@link stop}. */
  start(): void {
    void this.configuration.run();
    void this.endpoints.run();
    void this.followHosts();
  }

  /**
   * Applies changes that a peer has read.
   *
   * @param from Id of the peer that has sent them.
   * @returns Whether changes before them are missing here.
   */
  receive(update: TableUpdate, from: string): boolean {
    return this.follower(update.table)?.receive(update, from) === false;
  }

  /** Tables that have not been read yet. */
  missingTables(): readonly string[] {
    const {platform} = this.options;
    const tables = [
      platform.configurationTable,
      platform.endpointTable,
      HOST_TABLE,
    ];
    return tables.filter(table => this.content(table) === undefined);
  }

  /** The whole content of a table, for a peer; undefined if it is unknown. */
  content(table: string): TableUpdate | undefined {
    return this.follower(table)?.content();
  }

  /** Stops all followers. */
  stop(): void {
    this.stopController.abort();
    this.configuration.stop();
    this.endpoints.stop();
    this.hosts.stop();
  }

  private follower(table: string): TableFollower | undefined {
    const {platform} = this.options;
    const followers = new Map([
      [platform.configurationTable, this.configuration],
      [platform.endpointTable, this.endpoints],
      [HOST_TABLE, this.hosts],
    ]);
    return followers.get(table);
  }

  private async followHosts(): Promise<void> {
    const {clock, isFirstStart, registrationMilliseconds, random} =
      this.options;
    if (isFirstStart) {
      const delay =
        registrationMilliseconds * (1 + random() * FIRST_READ_SPREAD);
      await sleep(clock, delay, this.stopController.signal);
    }
    await this.hosts.run();
  }

  /**
   * Age at which this host reads a table itself: 0 for the best-ranked host, then
   * increasing with the rank, and largest for standby hosts.
   *
   * @param bound Time in which a change must be known.
   * @param share Share of the bound for the second-ranked host.
   */
  private maximumAge(bound: number, share: number): number {
    const rank = this.options.rank();
    if (rank === 0) return 0;
    const rankShare = Math.min(
      (rank ?? STANDBY_RANK) * RANK_SHARE,
      MAXIMUM_RANK_SHARE,
    );
    return bound * (share + rankShare);
  }

  private endpointPause(): number {
    const {drainMilliseconds, managesPool, endpoints} = this.options;
    if (!managesPool()) return drainMilliseconds * ENDPOINT_PAUSE_SHARE;
    const {minimum, maximum} = MANAGER_PAUSE_RANGE_MILLISECONDS;
    const pause = endpoints.size * MANAGER_PAUSE_PER_ENDPOINT_MILLISECONDS;
    return Math.min(maximum, Math.max(minimum, pause));
  }

  /**
   * Whether a row of an endpoint changes where requests may go. Heartbeats do not unless
   * a cold phase begins again or ends, since each host knows the end of a phase,
   * and models are announced by the manager of their pool.
   */
  private isSignificantEndpoint(row: Row, previous: Row | undefined): boolean {
    return (
      previous === undefined ||
      this.significantContent(row) !== this.significantContent(previous) ||
      this.coldMilliseconds(row) > this.coldMilliseconds(previous)
    );
  }

  private significantContent({key, version, value}: Row): string {
    const record =
      value === undefined
        ? undefined
        : this.options.platform.decodeEndpoint(key, version, value);
    return record === undefined
      ? REMOVED_ENDPOINT
      : JSON.stringify([
          record.service,
          record.softwareVersion,
          record.address,
          record.dataCentre,
          record.state,
          record.slots,
          record.startedAt,
          record.leavesInMilliseconds === undefined,
          this.coldMilliseconds({key, version, value}) > 0,
        ]);
  }

  /** Time for which an endpoint stays cold; 0 if its service has no cold phase. */
  private coldMilliseconds({key, version, value}: Row): number {
    const {platform, configuration} = this.options;
    if (value === undefined) return 0;
    const record = platform.decodeEndpoint(key, version, value);
    if (record === undefined) return 0;
    const {index} = configuration;
    // Until the services are known, any phase may matter to the other hosts.
    const hasColdPhase =
      index === undefined ||
      index.configuration.services.get(record.service)?.coldStart !== undefined;
    return hasColdPhase ? record.coldMilliseconds : 0;
  }

  private applyConfiguration(rows: readonly Row[], source: RowSource): void {
    const {platform, configuration} = this.options;
    for (const {key, value} of rows) {
      if (key !== platform.configurationKey || value === undefined) continue;
      configuration.applyIfNewer(value, source);
    }
  }

  /** Whether each data centre that the rows name is evacuated. */
  private decodeEvacuations(
    rows: readonly Row[],
  ): ReadonlyMap<string, boolean> {
    const evacuations = new Map<string, boolean>();
    for (const {key, value} of rows) {
      const dataCentre = this.options.platform.decodeEvacuation(key);
      if (dataCentre !== undefined)
        evacuations.set(dataCentre, value !== undefined);
    }
    return evacuations;
  }

  private decodeEndpoints(
    rows: readonly Row[],
  ): ReadonlyMap<string, EndpointRecord | undefined> {
    const {platform, logger} = this.options;
    return new Map(
      rows.map(({key, value, version}) => {
        if (value === undefined) {
          this.unreadableKeys.delete(key);
          return [key, undefined];
        }
        const record = platform.decodeEndpoint(key, version, value);
        if (record !== undefined) this.unreadableKeys.delete(key);
        else if (!this.unreadableKeys.has(key)) {
          this.unreadableKeys.add(key);
          logger.event('rowUnreadable', {
            table: platform.endpointTable,
            key,
            bytes: value.length,
          });
        }
        return [key, record];
      }),
    );
  }

  private decodeHosts(
    rows: readonly Row[],
  ): ReadonlyMap<string, HostRow | undefined> {
    return new Map(
      rows.map(({key, value}) => [
        key,
        value === undefined ? undefined : decodeHostRow(value),
      ]),
    );
  }
}
