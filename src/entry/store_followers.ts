import type {EndpointRecord} from '../deployment/mod.ts';
import {
  decodeHostRow,
  type EndpointRegistry,
  type HostRegistry,
  type HostRow,
} from '../fleet/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import {type Row, TableFollower} from '../stores/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {ConfigurationSource} from './configuration_source.ts';
import {HOST_TABLE} from './host_registration.ts';
import type {PlatformAdapter} from './platform_adapter.ts';

/** Options of {@link StoreFollowers}. */
export interface StoreFollowersOptions {
  platform: PlatformAdapter;
  clock: Clock;
  logger: EventLogger;
  configuration: ConfigurationSource;
  endpoints: EndpointRegistry;
  hosts: HostRegistry;
  /** Whether this host manages a pool and needs endpoint changes immediately. */
  managesPool: () => boolean;
  onEndpointsChanged: () => void;
}

/**
 * Long-poll time of a configuration request. A dead connection is detected after
 * this time plus the time-out of the call; together they stay within the 2 s in
 * which a new configuration must be applied.
 */
const CONFIGURATION_WAIT_MILLISECONDS = 1100;

/** Long-poll time of an endpoint request; each heartbeat of an endpoint is a change. */
const ENDPOINT_WAIT_MILLISECONDS = 1000;

/**
 * Pause between endpoint requests. It is short enough for a draining endpoint to
 * get no more requests after 2 s.
 */
const ENDPOINT_PAUSE_MILLISECONDS = 700;

/** Pause between endpoint requests on a host that manages a pool. */
const MANAGER_ENDPOINT_PAUSE_MILLISECONDS = 20;

/** Long-poll time of a host request; hosts change only when one starts or leaves. */
const HOST_WAIT_MILLISECONDS = 6000;

/** Follows the tables of the configuration, the endpoints and the hosts. */
export class StoreFollowers {
  private readonly configuration: TableFollower;
  private readonly endpoints: TableFollower;
  private readonly hosts: TableFollower;

  constructor(private readonly options: StoreFollowersOptions) {
    const {platform, clock, logger} = options;
    const common = {store: platform.store, clock, logger};
    this.configuration = new TableFollower({
      ...common,
      table: platform.configurationTable,
      waitMilliseconds: CONFIGURATION_WAIT_MILLISECONDS,
      pauseMilliseconds: () => 0,
      onSnapshot: rows => this.applyConfiguration(rows),
      onChanges: rows => this.applyConfiguration(rows),
    });
    this.endpoints = new TableFollower({
      ...common,
      table: platform.endpointTable,
      waitMilliseconds: ENDPOINT_WAIT_MILLISECONDS,
      pauseMilliseconds: () =>
        options.managesPool()
          ? MANAGER_ENDPOINT_PAUSE_MILLISECONDS
          : ENDPOINT_PAUSE_MILLISECONDS,
      onSnapshot: rows => {
        options.endpoints.applySnapshot(this.decodeEndpoints(rows));
        options.onEndpointsChanged();
      },
      onChanges: rows => {
        options.endpoints.applyChanges(this.decodeEndpoints(rows));
        options.onEndpointsChanged();
      },
    });
    this.hosts = new TableFollower({
      ...common,
      table: HOST_TABLE,
      waitMilliseconds: HOST_WAIT_MILLISECONDS,
      pauseMilliseconds: () => 0,
      onSnapshot: rows =>
        options.hosts.applySnapshot(
          [...this.decodeHosts(rows).values()].filter(row => row !== undefined),
        ),
      onChanges: rows => options.hosts.applyChanges(this.decodeHosts(rows)),
    });
  }

  /** Monotonic time at which the store responded again after an outage. */
  get storeRegainedAt(): number {
    return this.endpoints.lastRegainedAt;
  }

  /** Follows all tables until {@link stop}. */
  start(): void {
    void this.configuration.run();
    void this.endpoints.run();
    void this.hosts.run();
  }

  /** Stops all followers. */
  stop(): void {
    this.configuration.stop();
    this.endpoints.stop();
    this.hosts.stop();
  }

  private applyConfiguration(rows: readonly Row[]): void {
    const {platform, configuration} = this.options;
    for (const {key, value} of rows) {
      if (key !== platform.configurationKey || value === undefined) continue;
      configuration.applyIfNewer(value, 'store');
    }
  }

  private decodeEndpoints(
    rows: readonly Row[],
  ): ReadonlyMap<string, EndpointRecord | undefined> {
    const {platform, logger} = this.options;
    return new Map(
      rows.map(({key, value, version}) => {
        if (value === undefined) return [key, undefined];
        const record = platform.decodeEndpoint(key, version, value);
        if (record === undefined) {
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
