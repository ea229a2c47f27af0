import {createEventLogger} from '../observability/mod.ts';
import {EntryHost, type EntrySettings} from '../entry/mod.ts';
import {createPlatform} from '../platform/mod.ts';
import {SystemClock} from '../time/mod.ts';
import {freePorts} from './free_ports.ts';
import {entrySettings, platformConfiguration} from './platform_deployment.ts';
import {
  PlatformEndpointStandIn,
  type PlatformEndpointOptions,
} from './platform_endpoint_stand_in.ts';
import {PlatformStoreStandIn} from './platform_store_stand_in.ts';

/** An entry host of an {@link EntryFleet} and the ports that it listens on. */
export interface FleetHost {
  readonly host: EntryHost;
  readonly callerPort: number;
  readonly readinessPort: number;
  readonly directoryPort: number;
}

/** Entry hosts, endpoints and a store on loopback, for tests. */
export class EntryFleet {
  /** Log lines of all hosts. */
  readonly lines: string[] = [];
  private readonly hosts: EntryHost[] = [];
  private readonly endpoints: PlatformEndpointStandIn[] = [];
  private readonly hidden = new Set<PlatformEndpointStandIn>();

  private constructor(readonly store: PlatformStoreStandIn) {}

  /** Starts the store with a configuration. */
  static async start(
    configuration: object = platformConfiguration(),
  ): Promise<EntryFleet> {
    const fleet = new EntryFleet(await PlatformStoreStandIn.start());
    fleet.store.put('op', 'config', configuration);
    return fleet;
  }

  /** Starts an endpoint; call it before {@link startHost}. */
  async startEndpoint(
    options: PlatformEndpointOptions,
  ): Promise<PlatformEndpointStandIn> {
    const endpoint = await PlatformEndpointStandIn.start(options, this.store);
    this.endpoints.push(endpoint);
    return endpoint;
  }

  /** Takes an endpoint away, as its row and its process end. */
  async removeEndpoint(endpoint: PlatformEndpointStandIn): Promise<void> {
    this.endpoints.splice(this.endpoints.indexOf(endpoint), 1);
    this.store.drop('servers', endpoint.id);
    await endpoint.stop();
  }

  /** Removes the row of an endpoint that goes on serving. */
  hideEndpoint(endpoint: PlatformEndpointStandIn): void {
    this.hidden.add(endpoint);
    this.store.drop('servers', endpoint.id);
  }

  /** Lets hosts find a hidden endpoint. */
  showEndpoint(endpoint: PlatformEndpointStandIn): void {
    this.hidden.delete(endpoint);
    endpoint.register();
  }

  /** Starts a host and waits until it knows the endpoints and a configuration. */
  async startHost(
    hostId: string,
    overrides: Partial<EntrySettings> = {},
  ): Promise<FleetHost> {
    const host = await this.startUnconfiguredHost(hostId, overrides);
    await this.waitForLines(hostId, 'configurationApplied', 1);
    return host;
  }

  /** Starts a host and waits until it knows the endpoints. */
  async startUnconfiguredHost(
    hostId: string,
    overrides: Partial<EntrySettings> = {},
  ): Promise<FleetHost> {
    const [callers, readiness, directory, peers] = await freePorts(4);
    const settings = entrySettings(hostId, this.store.address, {
      callers: callers!,
      readiness: readiness!,
      directory: directory!,
      peers: peers!,
    });
    const host = await EntryHost.start({
      settings: {...settings, ...overrides},
      clock: new SystemClock(),
      logger: createEventLogger({
        context: {host: hostId},
        write: line => this.lines.push(line),
      }),
      platform: createPlatform({
        address: this.store.address,
        timeoutMilliseconds: settings.storeTimeoutMilliseconds,
      }),
    });
    this.hosts.push(host);
    await this.waitForLines(
      hostId,
      'endpointFound',
      this.endpoints.length - this.hidden.size,
    );
    return {
      host,
      callerPort: callers!,
      readinessPort: readiness!,
      directoryPort: directory!,
    };
  }

  /** Waits until a host has written an event a number of times. */
  async waitForLines(
    hostId: string,
    event: string,
    count: number,
  ): Promise<void> {
    const isMet = () =>
      this.lines.filter(
        line => line.includes(`"${event}"`) && line.includes(`"${hostId}"`),
      ).length >= count;
    while (!isMet()) await new Promise(resolve => setTimeout(resolve, 5));
  }

  /** Stops all hosts, endpoints and the store. */
  async stop(): Promise<void> {
    await Promise.all(this.hosts.map(host => host.drain()));
    await Promise.all(this.endpoints.map(endpoint => endpoint.stop()));
    await this.store.stop();
  }
}
