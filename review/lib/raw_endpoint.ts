import {createServer, type Server, type Socket} from 'node:net';
import type {PlatformStoreStandIn} from '../../src/testing/platform_store_stand_in.ts';

/** A request that a {@link RawEndpoint} has got. */
export interface RawRequest {
  readonly id: string;
  readonly connection: Socket;
}

/** Options of {@link RawEndpoint}. */
export interface RawEndpointOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  /** Models that it has loaded; a plain service has none. */
  readonly models?: readonly string[];
  /** In trouble, it misbehaves at one request in so many. @default 1 */
  readonly misbehavesEvery?: number;
  /** Answers in trouble, with any bytes. */
  readonly misbehave: (request: RawRequest) => void;
  /** Answers soundly. */
  readonly answer: (request: RawRequest) => void;
  readonly record: (line: string) => void;
}

/** Time of a load from disk, as on the site. */
const LOAD_MILLISECONDS = 840;

/** Endpoint that writes the bytes of its answers itself. */
export class RawEndpoint {
  isInTrouble = false;
  private readonly models: Set<string>;
  private readonly startedAt = Date.now();
  private troubledRequests = 0;
  private acceptedOrders = 0;
  private isBusy = false;
  private readonly connections = new Set<Socket>();
  private readonly server: Server;

  private constructor(
    private readonly options: RawEndpointOptions,
    private readonly store: PlatformStoreStandIn,
  ) {
    this.models = new Set(options.models ?? []);
    this.server = createServer(connection => this.serve(connection));
  }

  /** Starts an endpoint and registers it. */
  static async start(
    options: RawEndpointOptions,
    store: PlatformStoreStandIn,
  ): Promise<RawEndpoint> {
    const endpoint = new RawEndpoint(options, store);
    await new Promise<void>(resolve =>
      endpoint.server.listen(0, '127.0.0.1', resolve),
    );
    endpoint.register();
    return endpoint;
  }

  /** Ends the endpoint. */
  stop(): void {
    this.server.close();
    for (const connection of this.connections) connection.destroy();
  }

  private register(): void {
    const address = this.server.address();
    const port =
      typeof address === 'object' && address !== null ? address.port : 0;
    const {id, service, zone, slots, models} = this.options;
    this.store.put('servers', id, {
      service,
      address: `127.0.0.1:${port}`,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: 1,
      born: this.startedAt,
      ...(models === undefined
        ? {}
        : {
            stage: 'combined',
            models: this.heldModels(),
            available: {in_memory: [], on_disk: []},
          }),
    });
  }

  private heldModels() {
    return [...this.models].map(name => ({name, version: 1, adapters: []}));
  }

  private serve(connection: Socket): void {
    this.connections.add(connection);
    connection.on('error', () => undefined);
    connection.on('close', () => this.connections.delete(connection));
    let received = '';
    connection.on('data', (bytes: Buffer) => {
      received += bytes.toString('latin1');
      for (;;) {
        const end = received.indexOf('\r\n\r\n');
        if (end < 0) return;
        const head = received.slice(0, end);
        const length = Number(/content-length: *(\d+)/i.exec(head)?.[1] ?? 0);
        if (received.length < end + 4 + length) return;
        const body = received.slice(end + 4, end + 4 + length);
        received = received.slice(end + 4 + length);
        this.handle(connection, head, body);
      }
    });
  }

  private handle(connection: Socket, head: string, body: string): void {
    if (head.startsWith('GET /limpetdale/report ')) {
      const report = JSON.stringify({
        stage: 'combined',
        models: this.heldModels(),
        busy: this.isBusy,
        sequence: this.acceptedOrders,
        queued: 0,
        active: 0,
        pending: [],
      });
      connection.write(
        `HTTP/1.1 200 OK\r\nContent-Length: ${report.length}\r\n\r\n${report}`,
      );
      return;
    }
    if (head.startsWith('POST /limpetdale/order ')) {
      const status = this.takeOrder(body) ? '202 Accepted' : '409 Conflict';
      connection.write(`HTTP/1.1 ${status}\r\nContent-Length: 0\r\n\r\n`);
      return;
    }
    const id = /request-id: *(\S+)/i.exec(head)?.[1] ?? '';
    const misbehaves =
      this.isInTrouble &&
      ++this.troubledRequests % (this.options.misbehavesEvery ?? 1) === 0;
    const manner = misbehaves ? 'misbehaves' : 'answers soundly';
    this.options.record(`${this.options.id} runs ${id} and ${manner}`);
    if (misbehaves) this.options.misbehave({id, connection});
    else this.options.answer({id, connection});
  }

  /** Carries out an order for a model; returns whether it is accepted. */
  private takeOrder(body: string): boolean {
    const order = JSON.parse(body) as {
      operation: 'load' | 'unload';
      model: string;
      if_revision?: number;
    };
    const {if_revision: expected = this.acceptedOrders} = order;
    if (this.isBusy || expected !== this.acceptedOrders) return false;
    this.acceptedOrders++;
    this.isBusy = true;
    this.options.record(
      `${this.options.id} is ordered to ${order.operation} ${order.model}`,
    );
    setTimeout(() => {
      this.isBusy = false;
      if (order.operation === 'load') this.models.add(order.model);
      else this.models.delete(order.model);
      this.register();
    }, LOAD_MILLISECONDS);
    return true;
  }
}

/** Header lines that each answer of a sound endpoint has. */
export function ownHeaders(id: string): string {
  return `Request-Id: ${id}\r\nServer-Signature: 3e1b.07\r\n`;
}
