import {randomBytes} from 'node:crypto';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {PlatformStoreStandIn} from '../../src/testing/platform_store_stand_in.ts';

/** Time between two heartbeats. */
const HEARTBEAT_MILLISECONDS = 1200;

/** Heartbeats without which a row is removed. */
const MISSED_HEARTBEATS = 3;

/** Time that a load or an unload of a model takes. */
const MODEL_ORDER_MILLISECONDS = 300;

/** Sizes of a model. */
export interface ModelSizes {
  readonly megabytes: number;
  readonly adapterMegabytes: number;
}

/** A request as it arrived at a server. */
export interface Arrival {
  readonly at: number;
  readonly server: string;
  readonly id: string;
  readonly path: string;
  /** Address of the host that sent it. */
  readonly from: string;
  readonly body: string;
}

/** An order as it arrived at an engine. */
export interface OrderArrival {
  readonly at: number;
  readonly server: string;
  readonly holder: string;
  readonly token: number;
  readonly operation: string;
  readonly target: string;
  readonly status: number;
}

/** Options of {@link ServerStandIn}. */
export interface ServerOptions {
  readonly service: string;
  readonly store: PlatformStoreStandIn;
  readonly slots: number;
  /** Software version. */
  readonly version?: string;
  /** Models at the start; makes it an engine. */
  readonly models?: readonly string[];
  /** Models of which it has a copy on disk. @default models */
  readonly copies?: readonly string[];
  readonly sizes?: ReadonlyMap<string, ModelSizes>;
  readonly weightsMegabytes?: number;
  readonly adapterCapacity?: number;
  readonly runMilliseconds: number;
  /** Events of a stream. @default 2 */
  readonly events?: number;
  /** Time between two events. @default 0 */
  readonly eventMilliseconds?: number;
  /** Text in a body that crashes each server that begins to run it. */
  readonly crashesOn?: string;
  /** Time after which a crashed server is back. */
  readonly downMilliseconds?: number;
  readonly onArrival?: (arrival: Arrival) => void;
  readonly onOrder?: (order: OrderArrival) => void;
  readonly onCrash?: (server: string, reason: string) => void;
}

/** Sound server of the platform: an engine, or an instance of a plain service. */
export class ServerStandIn {
  id = '';
  /** Models and adapters that it holds, by model. */
  private held = new Map<string, Set<string>>();
  private born = 0;
  private beats = 0;
  private beatenAt = 0;
  private accepted = 0;
  private isBusy = false;
  private state: 'ready' | 'draining' = 'ready';
  private running = 0;
  private server: Server | undefined;
  private timer: NodeJS.Timeout | undefined;
  private isEnded = false;

  constructor(private readonly options: ServerOptions) {}

  /** Starts it anew, empty but for the models of its first start. */
  async start(isFirst = true): Promise<void> {
    const {models = []} = this.options;
    this.id = `i-${randomBytes(4).toString('hex')}`;
    this.born = Date.now();
    this.accepted = 0;
    this.isBusy = false;
    this.held = new Map(
      isFirst ? models.map(model => [model, new Set<string>()]) : [],
    );
    const server = createServer((request, response) => {
      void this.answer(request, response);
    });
    this.server = server;
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MILLISECONDS);
  }

  /** Ends it for good. */
  stop(): void {
    this.isEnded = true;
    clearInterval(this.timer);
    this.server?.closeAllConnections();
    this.server?.close();
  }

  /**
   * Leaves as announced: its row says so at once, and it serves until its runs have
   * ended, but not before the time to drain has passed.
   */
  async leave(drainMilliseconds: number): Promise<void> {
    this.state = 'draining';
    this.beat();
    const until = Date.now() + drainMilliseconds;
    while (Date.now() < until || this.running > 0)
      await new Promise(resolve => setTimeout(resolve, 50));
    this.options.store.drop('servers', this.id);
    this.stop();
  }

  /** Megabytes of all that it holds. */
  get usedMegabytes(): number {
    let used = 0;
    for (const [model, adapters] of this.held) {
      const sizes = this.options.sizes?.get(model);
      used +=
        (sizes?.megabytes ?? 0) +
        adapters.size * (sizes?.adapterMegabytes ?? 0);
    }
    return used;
  }

  /** Adapters that it holds. */
  get adapters(): readonly string[] {
    return [...this.held].flatMap(([model, adapters]) =>
      [...adapters].map(adapter => `${model}/${adapter}`),
    );
  }

  private beat(): void {
    this.beats++;
    this.beatenAt = Date.now();
    this.options.store.put('servers', this.id, this.row());
  }

  private row(): object {
    const {service, slots, version, models = []} = this.options;
    const {copies = models} = this.options;
    const {port} = this.server?.address() as AddressInfo;
    return {
      service,
      address: `127.0.0.1:${port}`,
      zone: 'zone-a',
      version: version ?? 'v1',
      slots,
      state: this.state,
      cold_remaining_ms: 0,
      sequence: this.beats,
      born: this.born,
      ...(this.options.models === undefined
        ? {}
        : {
            stage: 'combined',
            models: this.heldModels(),
            available: {in_memory: [], on_disk: [...copies]},
          }),
    };
  }

  private heldModels(): object[] {
    return [...this.held].map(([name, adapters]) => ({
      name,
      version: 1,
      adapters: [...adapters],
    }));
  }

  /** Ends as a crash does: without a word, and its row stays until it lapses. */
  crash(reason: string): void {
    const {downMilliseconds = 3000, store, onCrash} = this.options;
    const {id, server} = this;
    onCrash?.(id, reason);
    clearInterval(this.timer);
    server?.closeAllConnections();
    server?.close();
    this.server = undefined;
    const silentFor = Date.now() - this.beatenAt;
    setTimeout(
      () => store.drop('servers', id),
      HEARTBEAT_MILLISECONDS * MISSED_HEARTBEATS - silentFor,
    );
    if (downMilliseconds === Infinity) return;
    setTimeout(() => {
      if (!this.isEnded) void this.start(false);
    }, downMilliseconds);
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of request) chunks.push(chunk as Buffer);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks).toString();
    const expected = request.headers['expect-instance'];
    const id = String(request.headers['request-id'] ?? '');
    const rejection = {'Not-Executed': '1', 'Request-Id': id};
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, rejection).end();
      return;
    }
    if (request.url === '/limpetdale/order') {
      this.takeOrder(request, response, body);
      return;
    }
    if (request.url === '/limpetdale/report') {
      response
        .writeHead(200, {'Content-Type': 'application/json'})
        .end(JSON.stringify(this.report()));
      return;
    }
    this.run(request, response, {id, body, rejection});
  }

  private run(
    request: IncomingMessage,
    response: ServerResponse,
    {id, body, rejection}: {id: string; body: string; rejection: object},
  ): void {
    const {crashesOn, runMilliseconds, onArrival} = this.options;
    const [model = '', adapter] = String(request.headers['model'] ?? '').split(
      '/',
    );
    const adapters = this.held.get(model);
    if (
      model !== '' &&
      (adapters === undefined ||
        (adapter !== undefined && !adapters.has(adapter)))
    ) {
      response.writeHead(421, {...rejection}).end();
      return;
    }
    onArrival?.({
      at: Date.now(),
      server: this.id,
      id,
      path: request.url ?? '',
      from: request.socket.remoteAddress ?? '',
      body,
    });
    if (crashesOn !== undefined && body.includes(crashesOn)) {
      this.crash(`began to run ${id}`);
      return;
    }
    const own = {'Request-Id': id, 'Server-Signature': `s.${this.id}`};
    setTimeout(() => {
      if (response.destroyed) return;
      if (model === '') response.writeHead(200, own).end('the whole answer');
      else void this.stream(request, response, own);
    }, runMilliseconds);
  }

  private async stream(
    request: IncomingMessage,
    response: ServerResponse,
    own: Record<string, string>,
  ): Promise<void> {
    const {events = 2, eventMilliseconds = 0, version = 'v1'} = this.options;
    this.running++;
    let isOpen = true;
    response.once('close', () => {
      if (isOpen) this.running--;
      isOpen = false;
    });
    response.writeHead(200, {...own, 'Content-Type': 'text/event-stream'});
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (let id = first; id <= events && isOpen; id++) {
      response.write(`id: ${id}\ndata: event ${id} of ${version}\n\n`);
      await new Promise(resolve => setTimeout(resolve, eventMilliseconds));
    }
    if (isOpen) response.end();
  }

  private report(): object {
    return {
      stage: 'combined',
      models: this.heldModels(),
      busy: this.isBusy,
      sequence: this.accepted,
      queued: 0,
      active: 0,
      kv_cache_used: 0,
      kv_cache_total: 76_743,
      handles: 0,
      pending: [],
      available: {
        in_memory: [],
        on_disk: this.options.copies ?? this.options.models ?? [],
      },
    };
  }

  private takeOrder(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): void {
    const order = JSON.parse(body) as {
      operation: 'load' | 'unload';
      model: string;
      adapter?: string;
      if_revision?: number;
      holder: string;
      fencing_token: number;
    };
    const status = this.carryOut(order);
    const {model, adapter} = order;
    this.options.onOrder?.({
      at: Date.now(),
      server: this.id,
      holder: order.holder,
      token: order.fencing_token,
      operation: order.operation,
      target: adapter === undefined ? model : `${model}/${adapter}`,
      status,
    });
    if (status === 0) {
      this.crash(
        `held ${this.usedMegabytes} MB of ${this.options.weightsMegabytes}`,
      );
      return;
    }
    response.writeHead(status).end();
  }

  /** @returns The status; 0 if it is ordered to load more than it can hold. */
  private carryOut(order: {
    operation: 'load' | 'unload';
    model: string;
    adapter?: string;
    if_revision?: number;
  }): number {
    const {operation, model, adapter} = order;
    if (order.if_revision !== undefined && order.if_revision !== this.accepted)
      return 409;
    if (this.isBusy) return 409;
    const adapters = this.held.get(model);
    if (adapter === undefined) return this.changeModel(operation, model);
    if (adapters === undefined) return 400;
    if (operation === 'unload') {
      if (!adapters.delete(adapter)) return 200;
      this.accepted++;
      return 200;
    }
    if (adapters.has(adapter)) return 200;
    this.accepted++;
    adapters.add(adapter);
    return this.isOverloaded ? 0 : 202;
  }

  private get isOverloaded(): boolean {
    const {weightsMegabytes = Infinity, adapterCapacity = Infinity} =
      this.options;
    return (
      this.usedMegabytes > weightsMegabytes ||
      this.adapters.length > adapterCapacity
    );
  }

  private changeModel(operation: 'load' | 'unload', model: string): number {
    if (this.held.has(model) === (operation === 'load')) return 200;
    this.accepted++;
    this.isBusy = true;
    if (operation === 'load') this.held.set(model, new Set());
    if (this.isOverloaded) return 0;
    const {server} = this;
    setTimeout(() => {
      if (this.server !== server) return;
      if (operation === 'unload') this.held.delete(model);
      this.isBusy = false;
      this.beat();
    }, MODEL_ORDER_MILLISECONDS);
    return 202;
  }
}
