import type {Change, LogEntry} from '../contracts/mod.ts';
import {Host} from '../daemon/mod.ts';
import {digestSecret, issueKey} from '../keys/mod.ts';
import {type EventLogger, SILENT_LOGGER} from '../observability/mod.ts';
import {type Settings, settingsSchema} from '../settings/mod.ts';
import {EngineStandIn, type EngineStandInOptions} from './engine_stand_in.ts';
import {HostListStandIn} from './host_list_stand_in.ts';
import {ObjectStoreStandIn} from './object_store_stand_in.ts';
import {
  ServiceStandIn,
  type ServiceStandInOptions,
} from './service_stand_in.ts';
import {TableStandIn} from './table_stand_in.ts';
import {WeightStoreStandIn} from './weight_store_stand_in.ts';

/** Options of {@link LocalDeployment}. */
export interface LocalDeploymentOptions {
  /** Engines to start. @default 2 */
  engines?: number;
  /** Options of each engine. */
  engineOptions?: EngineStandInOptions;
  /** Service instances to start. @default 1 */
  services?: number;
  /** Options of each service instance. */
  serviceOptions?: ServiceStandInOptions;
  /** Data centres, over which hosts and endpoints are spread. */
  dataCentres?: readonly string[];
  /** T of the design, in milliseconds. @default 1000 */
  viewTimeoutMilliseconds?: number;
  /** Validity of address answers, in milliseconds. @default 300 */
  addressTimeToLiveMilliseconds?: number;
  /** Maximum duration of a drain, in milliseconds. @default 120000 */
  drainTimeoutMilliseconds?: number;
  /** Weight store's loads a second. @default 100 */
  loadsPerSecond?: number;
  /** Logger of a host. @default none */
  logger?: (hostId: string) => EventLogger;
}

const OPERATOR_TOKEN = 'local-operator-token';
const DEFAULT_DATA_CENTRES = ['istanbul-1', 'istanbul-2', 'istanbul-3'];

/** Stand-ins and hosts in one process, on loopback. Development only. */
export class LocalDeployment {
  readonly table = new TableStandIn();
  readonly objectStore = new ObjectStoreStandIn();
  readonly hostList = new HostListStandIn();
  readonly weightStore: WeightStoreStandIn;
  readonly engines: EngineStandIn[] = [];
  readonly services: ServiceStandIn[] = [];
  readonly hosts = new Map<string, Host>();
  private changeCount = 0;

  private constructor(private readonly options: LocalDeploymentOptions) {
    this.weightStore = new WeightStoreStandIn({
      loadsPerSecond: options.loadsPerSecond ?? 100,
    });
  }

  /** Starts the stand-ins; hosts follow by {@link startHost}. */
  static async start(
    options: LocalDeploymentOptions = {},
  ): Promise<LocalDeployment> {
    const deployment = new LocalDeployment(options);
    await Promise.all(
      deployment.platformServers().map(server => server.start()),
    );
    for (let index = 0; index < (options.engines ?? 2); index++) {
      const engine = new EngineStandIn({
        weightStoreAddress: deployment.weightStore.server.address,
        remoteLoadMilliseconds: 50,
        ...options.engineOptions,
      });
      deployment.engines.push(engine);
      await engine.server.start();
    }
    for (let index = 0; index < (options.services ?? 1); index++) {
      const service = new ServiceStandIn(options.serviceOptions);
      deployment.services.push(service);
      await service.server.start();
    }
    return deployment;
  }

  /** Starts a host and waits until it is ready. */
  async startHost(hostId: string): Promise<Host> {
    const seeds = [...this.hosts.values()].map(host => host.addresses.peers);
    const number = this.hosts.size;
    const host = await Host.start({
      settings: this.settings(hostId, number, seeds),
      logger: this.options.logger?.(hostId) ?? SILENT_LOGGER,
    });
    this.hosts.set(hostId, host);
    await host.ready();
    return host;
  }

  /** Commits a change through a host and returns when it is in effect. */
  async change(host: Host, change: Change): Promise<void> {
    const id = `change-${++this.changeCount}`;
    const result = await host.submit(id, 'operator', change);
    if (result.kind === 'in_effect') return;
    throw new Error(`Change ${change.kind} ended as ${JSON.stringify(result)}`);
  }

  /** Puts pools and endpoints for all stand-ins. */
  async putEndpoints(host: Host): Promise<void> {
    const pool = {
      storeLoadsPerSecond: this.options.loadsPerSecond ?? 100,
      storeConcurrentLoads: 4,
      adapterConcurrentLoads: 32,
    };
    await this.change(host, {
      kind: 'put_pool',
      pool: {...pool, name: 'serving', kind: 'engine'},
    });
    await this.change(host, {
      kind: 'put_pool',
      pool: {...pool, name: 'catalogue', kind: 'service'},
    });
    for (const [index, engine] of this.engines.entries()) {
      await this.change(host, {
        kind: 'put_endpoint',
        endpoint: {
          name: `engine-${index + 1}`,
          pool: 'serving',
          protocol: 'limpet-engine-1',
          address: engine.server.address,
          dataCentre: this.dataCentre(index),
          memoryMegabytes:
            this.options.engineOptions?.memoryMegabytes ?? 80_000,
          checksFencing: this.options.engineOptions?.checksFencing ?? false,
          leaving: false,
        },
      });
    }
    for (const [index, service] of this.services.entries()) {
      await this.change(host, {
        kind: 'put_endpoint',
        endpoint: {
          name: `catalogue-${index + 1}`,
          pool: 'catalogue',
          protocol: 'http',
          address: service.server.address,
          dataCentre: this.dataCentre(index),
          memoryMegabytes: 0,
          checksFencing: false,
          leaving: false,
        },
      });
    }
    await this.change(host, {
      kind: 'put_route',
      route: {
        name: 'catalogue',
        pool: 'catalogue',
        open: false,
        rules: [{methods: ['POST'], pathPrefix: '/stock', repeatable: true}],
        timeoutMilliseconds: 5000,
        maximumBodyBytes: 65_536,
        tokensPerCall: 1,
      },
    });
  }

  /** Puts a model. */
  async putModel(host: Host, name: string): Promise<void> {
    await this.change(host, {
      kind: 'put_model',
      model: {
        name,
        pool: 'serving',
        version: '1',
        memoryMegabytes: 20_000,
        loadMilliseconds: {memory: 20, disk: 30, remote: 60},
        maximumReplicas: 2,
      },
    });
  }

  /** Puts a contract and returns the secret of a new key. */
  async putContract(
    host: Host,
    team: string,
    models: readonly string[],
    limits = {tokensPerSecond: 10_000, burstTokens: 50_000},
  ): Promise<{secret: string; keyId: string}> {
    await this.change(host, {
      kind: 'put_contract',
      contract: {
        team,
        models: [...models],
        adapters: [],
        services: ['catalogue'],
        ...limits,
        weight: 1,
        maximumReplicas: 2,
        endsAt: null,
      },
    });
    const {record, secret} = issueKey(team);
    await this.change(host, {kind: 'issue_key', key: record});
    return {secret, keyId: record.keyId};
  }

  /** Versions committed in the table, in order. */
  async committedEntries(): Promise<LogEntry[]> {
    const rows = await this.table.table.scan('log/', {limit: 100_000});
    return rows.ok
      ? rows.value.map(row => row.value as unknown as LogEntry)
      : [];
  }

  /** Stops all hosts and stand-ins. */
  async stop(): Promise<void> {
    await Promise.all([...this.hosts.values()].map(host => host.stop()));
    await Promise.all(
      [
        ...this.platformServers(),
        ...this.engines.map(engine => engine.server),
        ...this.services.map(service => service.server),
      ].map(server => server.stop()),
    );
  }

  private platformServers() {
    return [this.table, this.objectStore, this.hostList, this.weightStore].map(
      standIn => standIn.server,
    );
  }

  private dataCentre(index: number): string {
    const dataCentres = this.options.dataCentres ?? DEFAULT_DATA_CENTRES;
    return dataCentres[index % dataCentres.length]!;
  }

  /** Settings of a host on free loopback ports. */
  settings(hostId: string, number: number, seeds: readonly string[]): Settings {
    const listen = {address: '127.0.0.1', port: 0};
    return settingsSchema.parse({
      hostId,
      deployment: 'local',
      dataCentre: this.dataCentre(number),
      callers: {
        listen,
        addressTimeToLiveMilliseconds:
          this.options.addressTimeToLiveMilliseconds ?? 300,
      },
      operators: {listen, tokenDigests: [digestSecret(OPERATOR_TOKEN)]},
      peers: {listen, seeds},
      platform: {
        table: this.table.server.address,
        objectStore: this.objectStore.server.address,
        weightStore: this.weightStore.server.address,
        hostList: this.hostList.server.address,
      },
      viewTimeoutMilliseconds: this.options.viewTimeoutMilliseconds ?? 1000,
      drainTimeoutMilliseconds: this.options.drainTimeoutMilliseconds,
    });
  }
}
