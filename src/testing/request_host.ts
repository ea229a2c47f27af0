import {
  applyChange,
  type Authority,
  type Change,
  EMPTY_AUTHORITY,
  type SubmitResult,
} from '../contracts/mod.ts';
import {EndpointClients, type ExchangeTimeouts} from '../endpoints/mod.ts';
import {
  failure,
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
  type Result,
  RUN_STATES,
  success,
} from '../errors/mod.ts';
import {issueKey} from '../keys/mod.ts';
import type {Reservation} from '../limits/mod.ts';
import {Metrics, SILENT_LOGGER} from '../observability/mod.ts';
import type {PeerIdentity, PeerMessage} from '../peers/mod.ts';
import {TransactionWriter} from '../stores/mod.ts';
import {
  type ModelEvent,
  type ModelRequest,
  RequestPath,
  type RequestPathOptions,
  type ServiceRequest,
} from '../requests/mod.ts';
import type {
  AcquiredReplica,
  ReplicaRequest,
  ReplicaSource,
} from '../routing/mod.ts';
import {ConnectionProxy} from './connection_proxy.ts';
import {EngineStandIn, type EngineStandInOptions} from './engine_stand_in.ts';
import {MemoryTable} from './memory_table.ts';
import {
  ServiceStandIn,
  type ServiceStandInOptions,
} from './service_stand_in.ts';
import {type Clock, sleep, SystemClock} from '../time/mod.ts';

/** The one copy of the authority that all hosts of a test share. */
export class TestAuthority {
  current: Authority = EMPTY_AUTHORITY;
  readonly submitted: Change[] = [];
  private readonly listeners = new Set<() => void>();

  apply(change: Change): void {
    const next = applyChange(this.current, change);
    if (!next.ok) throw new Error(JSON.stringify(next.error));
    this.current = next.value;
    for (const listener of this.listeners) listener();
  }

  async submit(
    _id: string,
    _author: string,
    change: Change,
  ): Promise<SubmitResult> {
    this.submitted.push(change);
    this.apply(change);
    return {kind: 'committed', version: this.current.version};
  }

  subscribe(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** A contract with one key; returns the value of its header. */
  addTeam(team: string, models: string[], services: string[] = []): string {
    this.apply({
      kind: 'put_contract',
      contract: {
        team,
        models,
        adapters: [],
        services,
        tokensPerSecond: 1e6,
        burstTokens: 1e6,
        weight: 1,
        maximumReplicas: 1,
        endsAt: null,
      },
    });
    return this.addKey(team);
  }

  /** Another key of a team; returns the value of its header. */
  addKey(team: string): string {
    const {record, secret} = issueKey(team);
    this.apply({kind: 'issue_key', key: record});
    return `Bearer ${secret}`;
  }

  addRoute(name: string, pool: string, timeoutMilliseconds: number): void {
    this.apply({
      kind: 'put_route',
      route: {
        name,
        pool,
        open: false,
        rules: [],
        timeoutMilliseconds,
        maximumBodyBytes: 1_048_576,
        tokensPerCall: 1,
      },
    });
  }

  addPool(name: string, kind: 'engine' | 'service'): void {
    this.apply({
      kind: 'put_pool',
      pool: {
        name,
        kind,
        storeLoadsPerSecond: 3,
        storeConcurrentLoads: 4,
        adapterConcurrentLoads: 32,
      },
    });
  }

  addModel(name: string, pool: string): void {
    this.apply({
      kind: 'put_model',
      model: {
        name,
        pool,
        version: '1',
        memoryMegabytes: 1000,
        loadMilliseconds: {memory: 1, disk: 1, remote: 1},
        maximumReplicas: 1,
      },
    });
  }

  addEndpoint(name: string, pool: string, address: string): void {
    const engine = this.current.pools.get(pool)?.kind === 'engine';
    this.apply({
      kind: 'put_endpoint',
      endpoint: {
        name,
        pool,
        protocol: engine ? 'limpet-engine-1' : 'http',
        address,
        dataCentre: 'dc-1',
        memoryMegabytes: 0,
        checksFencing: false,
        leaving: false,
      },
    });
  }
}

/** An engine as far as replicas are concerned. */
export type LoadedEngine = Pick<EngineStandIn, 'loadedNames'>;

/** Replicas of every model on every engine, loaded again when they are missing. */
export class TestReplicas implements ReplicaSource {
  readonly acquired: ReplicaRequest[] = [];
  /** Holds in use, by endpoint; more than one beside an alone hold is a fault. */
  private readonly inUse = new Map<string, number>();
  private readonly alone = new Set<string>();
  private next = 0;

  constructor(
    private readonly authority: TestAuthority,
    private readonly engines: ReadonlyMap<string, LoadedEngine>,
    private readonly clock: Clock,
  ) {}

  async acquire(
    request: ReplicaRequest,
  ): Promise<Result<AcquiredReplica, RequestError>> {
    this.acquired.push(request);
    while (!request.signal.aborted) {
      const hold = this.choose(request);
      if (hold !== undefined) return success(hold);
      await sleep(this.clock, 5, request.signal);
    }
    return failure({
      code: REQUEST_ERROR_CODES.noReplica,
      message: 'No replica',
      step: REQUEST_STEPS.place,
      run: RUN_STATES.notRun,
    });
  }

  private choose(request: ReplicaRequest): AcquiredReplica | undefined {
    const names = [...this.engines.keys()];
    for (let offset = 0; offset < names.length; offset++) {
      const name = names[(this.next + offset) % names.length]!;
      const busy = this.inUse.get(name) ?? 0;
      if (this.alone.has(name) || (request.alone && busy > 0)) continue;
      if (request.excludedEndpoints.has(name)) continue;
      if (!this.engines.get(name)!.loadedNames.includes(request.target)) {
        continue;
      }
      this.next = (this.next + offset + 1) % names.length;
      return this.hold(name, request);
    }
    return undefined;
  }

  private hold(name: string, request: ReplicaRequest): AcquiredReplica {
    this.inUse.set(name, (this.inUse.get(name) ?? 0) + 1);
    if (request.alone) this.alone.add(name);
    let released = false;
    return {
      endpoint: this.authority.current.endpoints.get(name)!,
      model: request.target,
      adapter: null,
      coldStart: false,
      release: () => {
        if (released) return;
        released = true;
        this.inUse.set(name, this.inUse.get(name)! - 1);
        if (request.alone) this.alone.delete(name);
      },
    };
  }
}

/** Links between the hosts of a test, in memory. */
export class TestPeers {
  private readonly handlers = new Map<
    string,
    Set<(from: PeerIdentity, message: PeerMessage) => void>
  >();

  channel(hostId: string): RequestPathOptions['peers'] {
    const handlers = new Set<
      (from: PeerIdentity, message: PeerMessage) => void
    >();
    this.handlers.set(hostId, handlers);
    return {
      broadcast: message => {
        const from = {hostId} as PeerIdentity;
        for (const [other, others] of this.handlers) {
          if (other === hostId) continue;
          for (const handler of others) handler(from, message);
        }
      },
      onMessage: handler => {
        handlers.add(handler);
        return () => {
          handlers.delete(handler);
        };
      },
    };
  }
}

/** Parts of a {@link TestHost}; each has a default. */
export interface TestHostOptions extends Partial<RequestPathOptions> {
  engines?: ReadonlyMap<string, LoadedEngine>;
  shared?: TestAuthority;
  peerLinks?: TestPeers;
  memoryTable?: MemoryTable;
  bounds?: ExchangeTimeouts;
  /** Addresses in place of those of the stand-ins, by endpoint name. */
  addresses?: Readonly<Record<string, string>>;
  /** @default 5000 */
  routeTimeoutMilliseconds?: number;
  /** Replaces parts once all of them are known. */
  mutate?: (options: RequestPathOptions) => Partial<RequestPathOptions>;
}

/** A request path with everything around it. */
export class TestHost {
  readonly authority: TestAuthority;
  readonly table: MemoryTable;
  readonly replicas: TestReplicas;
  readonly path: RequestPath;
  readonly reservations: {tokens: number; used: number | undefined}[] = [];
  readonly observed: string[] = [];
  /** Whether the view is confirmed. */
  confirmed = true;

  constructor(options: TestHostOptions = {}) {
    const clock = options.clock ?? new SystemClock();
    this.authority = options.shared ?? new TestAuthority();
    this.table = options.memoryTable ?? new MemoryTable();
    this.replicas = new TestReplicas(
      this.authority,
      options.engines ?? new Map(),
      clock,
    );
    const {table} = this;
    const hostId = options.hostId ?? 'host-1';
    const parts: RequestPathOptions = {
      hostId,
      incarnation: 'a',
      clock,
      logger: SILENT_LOGGER,
      metrics: new Metrics(),
      authority: () => this.authority.current,
      view: {
        confirmedUntil: () => (this.confirmed ? Infinity : 0),
        isConfirmed: () => this.confirmed,
        waitUntilConfirmed: async () => undefined,
      },
      tokens: {reserve: async ({tokens}) => success(this.reserve(tokens))},
      replicas: this.replicas,
      observer: {
        succeeded: name => this.observed.push(`succeeded ${name}`),
        failed: (name, kind) => this.observed.push(`${kind} ${name}`),
        replicaMissing: name => this.observed.push(`missing ${name}`),
      },
      clients: new EndpointClients(options.bounds),
      table,
      writer: new TransactionWriter({
        table,
        clock,
        logger: SILENT_LOGGER,
        initialRetryDelayMilliseconds: 1,
        random: () => 0.5,
      }),
      changes: this.authority,
      peers: (options.peerLinks ?? new TestPeers()).channel(hostId),
      ...options,
    };
    this.path = new RequestPath({...parts, ...options.mutate?.(parts)});
  }

  private reserve(tokens: number): Reservation {
    const record = {tokens, used: undefined as number | undefined};
    this.reservations.push(record);
    return {
      tokens,
      extend: async added => {
        record.tokens += added;
        return {ok: true, value: undefined};
      },
      settle: used => {
        record.used ??= used;
      },
    };
  }
}

const started: {stop(): Promise<void>}[] = [];
/** Stops all servers that were started by the functions below. */
export async function stopServers(): Promise<void> {
  await Promise.all(started.splice(0).map(server => server.stop()));
}

/** An engine with `model-1` loaded; later loads take no time. */
export async function startEngine(
  options: EngineStandInOptions = {},
): Promise<EngineStandIn> {
  const engine = new EngineStandIn({
    tokenMilliseconds: 2,
    remoteLoadMilliseconds: 0,
    ...options,
  });
  await engine.server.start();
  started.push(engine.server);
  await loadModel(engine);
  return engine;
}

/** A service that listens. */
export async function startService(
  options: ServiceStandInOptions = {},
): Promise<ServiceStandIn> {
  const service = new ServiceStandIn(options);
  await service.server.start();
  started.push(service.server);
  return service;
}

/** A proxy in front of a stand-in. */
export async function startProxy(server: {
  readonly port: number;
}): Promise<ConnectionProxy> {
  const proxy = new ConnectionProxy(() => server.port);
  await proxy.start();
  started.push(proxy);
  return proxy;
}

/** A host in front of engines with `model-1` and of the service `orders`. */
export function createDeployment(
  engines: EngineStandIn[],
  services: ServiceStandIn[],
  options: TestHostOptions = {},
): {host: TestHost; authorization: string} {
  const named = engines.map((engine, index) => {
    return [`engine-${index + 1}`, engine] as const;
  });
  const host = new TestHost({engines: new Map(named), ...options});
  const {authority} = host;
  authority.addPool('models', 'engine');
  authority.addPool('orders', 'service');
  authority.addModel('model-1', 'models');
  for (const [name, engine] of named) {
    const address = options.addresses?.[name] ?? engine.server.address;
    authority.addEndpoint(name, 'models', address);
  }
  for (const [index, service] of services.entries()) {
    const name = `service-${index + 1}`;
    const address = options.addresses?.[name] ?? service.server.address;
    authority.addEndpoint(name, 'orders', address);
  }
  authority.addRoute(
    'orders',
    'orders',
    options.routeTimeoutMilliseconds ?? 5000,
  );
  const authorization = authority.addTeam('workshop', ['model-1'], ['orders']);
  return {host, authorization};
}

let nextRequest = 0;

/** A chat request with defaults. */
export function chat(
  authorization: string,
  changes: Partial<ModelRequest> = {},
): ModelRequest {
  return {
    requestId: `request-${nextRequest++}`,
    authorization,
    model: 'model-1',
    operation: 'chat',
    input: 'six walnut veneers',
    maximumTokens: 100,
    parameters: {},
    priority: 'interactive',
    timeoutMilliseconds: 10_000,
    idempotencyKey: undefined,
    signal: new AbortController().signal,
    ...changes,
  };
}

/** A service request with defaults. */
export function serviceCall(
  authorization: string | undefined,
  changes: Partial<ServiceRequest> = {},
): ServiceRequest {
  return {
    requestId: `request-${nextRequest++}`,
    authorization,
    service: 'orders',
    method: 'GET',
    path: '/stock',
    headers: {},
    body: new Uint8Array(),
    idempotencyKey: undefined,
    signal: new AbortController().signal,
    ...changes,
  };
}

/** All events of a request. */
export async function collect(
  events: AsyncIterable<ModelEvent>,
): Promise<ModelEvent[]> {
  const all: ModelEvent[] = [];
  for await (const event of events) all.push(event);
  return all;
}

/** Text of the tokens among events. */
export function textOf(events: readonly ModelEvent[]): string {
  return events
    .map(event => (event.kind === 'token' ? event.text : ''))
    .join('');
}

/** The error that ended a request. */
export function errorOf(
  events: readonly ModelEvent[],
): RequestError | undefined {
  const last = events.at(-1);
  return last?.kind === 'failed' ? last.error : undefined;
}

/** Loads a model on an engine at once. */
export async function loadModel(
  engine: EngineStandIn,
  name = 'model-1',
): Promise<void> {
  const clients = new EndpointClients();
  const client = clients.engine({
    name: 'engine',
    pool: 'pool',
    protocol: 'limpet-engine-1',
    address: engine.server.address,
    dataCentre: 'dc-1',
    memoryMegabytes: 0,
    checksFencing: false,
    leaving: false,
  });
  const order = await client.order({
    orderId: `load-${nextRequest++}`,
    epoch: 1,
    notAfter: '2100-01-01T00:00:00Z',
    action: {kind: 'load_model', name, version: '1', memoryMegabytes: 1},
  });
  if (!order.ok) throw new Error(JSON.stringify(order.error));
  while (!engine.loadedNames.includes(name)) {
    await new Promise(resolve => setTimeout(resolve, 1));
  }
  clients.retain(new Set());
}
