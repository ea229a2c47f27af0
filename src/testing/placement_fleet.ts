import {type Authority, EMPTY_AUTHORITY} from '../contracts/mod.ts';
import {
  adapterSchema,
  contractSchema,
  endpointSchema,
  modelSchema,
  poolSchema,
} from '../contracts/mod.ts';
import type {RequestError, Result} from '../errors/mod.ts';
import {success} from '../errors/mod.ts';
import type {LeaseAuthority} from '../leases/mod.ts';
import type {
  EventFields,
  EventLogger,
  EventName,
} from '../observability/mod.ts';
import {
  type PlacementPolicy,
  PoolControllers,
  type PoolControllersOptions,
} from '../placement/mod.ts';
import type {ListedHost, TableService} from '../stores/mod.ts';
import {TransactionWriter} from '../stores/mod.ts';
import {type AcquiredReplica, ReplicaRouter} from '../routing/mod.ts';
import {ManualClock} from './manual_clock.ts';
import {MemoryEngine, type MemoryEngineOptions} from './memory_engine.ts';
import {MemoryPeerNetwork} from './memory_peer_network.ts';
import {MemoryTable} from './memory_table.ts';
import {MemoryWeightStore} from './memory_weight_store.ts';
import {PausableClock} from './pausable_clock.ts';

type Acquired = Result<AcquiredReplica, RequestError>;

/** Options of {@link PlacementFleet}. */
export interface PlacementFleetOptions {
  hosts: number;
  engines: readonly (Partial<MemoryEngineOptions> & {name: string})[];
  models: readonly (Record<string, unknown> & {name: string})[];
  adapters?: readonly (Record<string, unknown> & {name: string})[];
  pool?: Record<string, unknown>;
  contracts?: readonly (Record<string, unknown> & {team: string})[];
  /** Options of every host's holders. */
  holder?: Partial<PoolControllersOptions>;
  /** Policy of each host's holders. @default that of the holder */
  policyOf?: (hostId: string) => PlacementPolicy;
  /** Receives each log event. */
  onEvent?: (host: string, name: EventName, fields: EventFields) => void;
}

/** One host with router and holders. */
export interface PlacementHost {
  readonly hostId: string;
  readonly clock: PausableClock;
  readonly router: ReplicaRouter;
  readonly holders: PoolControllers;
  readonly leases: ManualLeases;
}

/** Leases of one host, set by the test. */
export class ManualLeases implements LeaseAuthority {
  acting: number | undefined;
  holder: string | undefined;
  private readonly listeners = new Set<
    (scope: string, epoch: number | undefined) => void
  >();

  actingEpoch(): number | undefined {
    return this.acting;
  }

  holderOf(): string | undefined {
    return this.holder;
  }

  onChange(
    listener: (scope: string, epoch: number | undefined) => void,
  ): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /** Starts or stops to act. */
  act(epoch: number | undefined): void {
    this.acting = epoch;
    for (const listener of this.listeners) listener('pool:main', epoch);
  }
}

/** Name of the only pool of a {@link PlacementFleet}. */
export const FLEET_POOL = 'main';

/** Hosts with routing and placement, and engines, on one manual clock. */
export class PlacementFleet {
  readonly clock = new ManualClock();
  readonly table = new MemoryTable();
  readonly network = new MemoryPeerNetwork(this.clock);
  readonly store: MemoryWeightStore;
  readonly engines = new Map<string, MemoryEngine>();
  readonly hosts = new Map<string, PlacementHost>();
  readonly listed: ListedHost[] = [];
  /** Milliseconds of an exchange with the table. */
  tableMilliseconds = 1;
  authority: Authority;
  epoch = 0;

  constructor(private readonly options: PlacementFleetOptions) {
    this.authority = authorityOf(options);
    const pool = this.authority.pools.get(FLEET_POOL)!;
    this.store = new MemoryWeightStore({
      clock: this.clock,
      loadsPerSecond: pool.storeLoadsPerSecond,
      concurrentLoads: pool.storeConcurrentLoads,
    });
    for (const engine of options.engines) {
      this.engines.set(
        engine.name,
        new MemoryEngine({
          clock: this.clock,
          store: this.store,
          loadMilliseconds: name => {
            return this.authority.models.get(name)!.loadMilliseconds;
          },
          adapterMilliseconds: name => {
            return this.authority.adapters.get(name)!.loadMilliseconds;
          },
          ...engine,
        }),
      );
    }
    for (let index = 1; index <= options.hosts; index++) {
      this.addHost(`host-${index}`, index);
    }
  }

  /** Starts all hosts and gives the pool to the first. */
  async start(): Promise<void> {
    for (const {router, holders} of this.hosts.values()) {
      router.start();
      holders.start();
    }
    this.giveTo('host-1');
    await this.clock.advanceAsync(20);
  }

  /** Lets a host act for the pool under the next epoch. */
  giveTo(hostId: string): void {
    this.epoch++;
    for (const host of this.hosts.values()) {
      host.leases.holder = hostId;
      if (host.hostId !== hostId && host.leases.acting !== undefined) {
        host.leases.act(undefined);
      }
    }
    this.hosts.get(hostId)?.leases.act(this.epoch);
  }

  /** Ends a host's process. */
  kill(hostId: string): void {
    const host = this.hosts.get(hostId)!;
    host.leases.acting = undefined;
    host.clock.kill();
    this.network.close(hostId);
    this.hosts.delete(hostId);
  }

  /** Asks a host for a replica. */
  acquire(
    hostId: string,
    target: string,
    timeoutMilliseconds: number,
    team = 'team-1',
  ): Promise<Acquired> {
    const deadlineAt = this.clock.monotonicMilliseconds() + timeoutMilliseconds;
    return this.hosts.get(hostId)!.router.acquire({
      target,
      team,
      deadlineAt,
      prefix: undefined,
      excludedEndpoints: new Set(),
      alone: false,
      signal: new AbortController().signal,
    });
  }

  /** Engines on which a target is loading or loaded. */
  enginesOf(target: string): readonly string[] {
    return [...this.engines.values()]
      .filter(engine => engine.stateOf(target) !== undefined)
      .map(engine => engine.name);
  }

  /** Loads of a target that engines obeyed. */
  loadsOf(target: string): number {
    let count = 0;
    for (const {obeyed} of this.engines.values()) {
      for (const {action} of obeyed) {
        const loads =
          action.kind === 'load_model' || action.kind === 'load_adapter';
        if (loads && action.name === target) count++;
      }
    }
    return count;
  }

  private addHost(hostId: string, index: number): void {
    const clock = new PausableClock(this.clock);
    const channel = this.network.open(
      {
        hostId,
        incarnation: `${hostId}-run-1`,
        dataCentre: `centre-${(index % 3) + 1}`,
        peerAddress: `ws://${hostId}:7200`,
        callerAddress: `http://${hostId}:8080`,
      },
      clock,
    );
    const {onEvent, policyOf} = this.options;
    const logger: EventLogger = {
      event: (name, fields = {}) => onEvent?.(hostId, name, fields),
    };
    const leases = new ManualLeases();
    const table = this.tableOf(clock);
    const clients = new Map(
      [...this.engines.values()].map(engine => {
        return [engine.name, engine.client(action => clock.run(action))];
      }),
    );
    const engines = {
      engine: ({name}: {name: string}) => clients.get(name)!,
    };
    const authority = () => this.authority;
    const shared = {authority, channel, leases, engines, clock, logger};
    const router: ReplicaRouter = new ReplicaRouter({
      ...shared,
      hostList: {list: async () => success([...this.listed])},
      localController: () => holders,
    });
    const holders = new PoolControllers({
      ...shared,
      table,
      writer: new TransactionWriter({table, clock, logger, random: () => 0.5}),
      applyLocally: update => router.applyUpdate(update),
      lastReportedTargets: endpoint => router.targetsOn(endpoint),
      unusableReason: name => router.endpointUnusableReason(name),
      ...(policyOf === undefined ? {} : {policy: policyOf(hostId)}),
      ...this.options.holder,
    });
    this.hosts.set(hostId, {hostId, clock, router, holders, leases});
  }

  private tableOf(clock: PausableClock): TableService {
    const {table} = this;
    const after = <Answer>(answer: Promise<Answer>): Promise<Answer> =>
      new Promise(resolve => {
        this.clock.startTimer(this.tableMilliseconds, () => {
          void answer.then(value => clock.run(() => resolve(value)));
        });
      });
    return {
      read: keys => after(table.read(keys)),
      scan: (prefix, scan) => after(table.scan(prefix, scan)),
      commit: transaction => after(table.commit(transaction)),
    };
  }
}

function authorityOf(options: PlacementFleetOptions): Authority {
  const revision = 1;
  const pool = poolSchema.parse({
    name: FLEET_POOL,
    kind: 'engine',
    ...options.pool,
  });
  const models = options.models.map(model =>
    modelSchema.parse({pool: FLEET_POOL, memoryMegabytes: 10_000, ...model}),
  );
  const adapters = (options.adapters ?? []).map(adapter =>
    adapterSchema.parse({memoryMegabytes: 100, ...adapter}),
  );
  const names = {
    models: models.map(model => model.name),
    adapters: adapters.map(adapter => adapter.name),
  };
  const contracts = (options.contracts ?? [{team: 'team-1'}]).map(contract =>
    contractSchema.parse({
      ...names,
      services: [],
      tokensPerSecond: 1000,
      burstTokens: 1000,
      ...contract,
    }),
  );
  const endpoints = options.engines.map((engine, index) =>
    endpointSchema.parse({
      name: engine.name,
      pool: FLEET_POOL,
      protocol: 'limpet-engine-1',
      address: `http://${engine.name}:9000`,
      dataCentre: `centre-${(index % 3) + 1}`,
      memoryMegabytes: engine.memoryMegabytes ?? 80_000,
      checksFencing: engine.checksFencing ?? false,
    }),
  );
  const byName = <Entity extends {name: string}>(entities: Entity[]) =>
    new Map(entities.map(entity => [entity.name, {...entity, revision}]));
  return {
    ...EMPTY_AUTHORITY,
    version: 1,
    pools: byName([pool]),
    models: byName(models),
    adapters: byName(adapters),
    endpoints: byName(endpoints),
    contracts: new Map(
      contracts.map(contract => [contract.team, {...contract, revision}]),
    ),
  };
}
