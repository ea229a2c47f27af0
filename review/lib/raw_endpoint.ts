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
  /** Answers in trouble, with any bytes. */
  readonly misbehave: (request: RawRequest) => void;
  /** Answers soundly. */
  readonly answer: (request: RawRequest) => void;
  readonly record: (line: string) => void;
}

/** Endpoint that writes the bytes of its answers itself. */
export class RawEndpoint {
  isInTrouble = false;
  private readonly connections = new Set<Socket>();
  private readonly server: Server;

  private constructor(private readonly options: RawEndpointOptions) {
    this.server = createServer(connection => this.serve(connection));
  }

  /** Starts an endpoint and registers it. */
  static async start(
    options: RawEndpointOptions,
    store: PlatformStoreStandIn,
  ): Promise<RawEndpoint> {
    const endpoint = new RawEndpoint(options);
    await new Promise<void>(resolve =>
      endpoint.server.listen(0, '127.0.0.1', resolve),
    );
    const address = endpoint.server.address();
    const port =
      typeof address === 'object' && address !== null ? address.port : 0;
    store.put('servers', options.id, {
      service: options.service,
      address: `127.0.0.1:${port}`,
      zone: options.zone,
      version: 'v1',
      slots: options.slots,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: 1,
      born: Date.now(),
      ...(options.models === undefined
        ? {}
        : {
            stage: 'combined',
            models: heldModels(options.models),
            available: {in_memory: [], on_disk: []},
          }),
    });
    return endpoint;
  }

  /** Ends the endpoint. */
  stop(): void {
    this.server.close();
    for (const connection of this.connections) connection.destroy();
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
        received = received.slice(end + 4 + length);
        this.handle(connection, head);
      }
    });
  }

  private handle(connection: Socket, head: string): void {
    if (head.startsWith('GET /limpetdale/report ')) {
      const report = JSON.stringify({
        stage: 'combined',
        models: heldModels(this.options.models ?? []),
        busy: false,
        sequence: 0,
        queued: 0,
        active: 0,
        pending: [],
      });
      connection.write(
        `HTTP/1.1 200 OK\r\nContent-Length: ${report.length}\r\n\r\n${report}`,
      );
      return;
    }
    const id = /request-id: *(\S+)/i.exec(head)?.[1] ?? '';
    const {isInTrouble} = this;
    const manner = isInTrouble ? 'misbehaves' : 'answers soundly';
    this.options.record(`${this.options.id} runs ${id} and ${manner}`);
    if (isInTrouble) this.options.misbehave({id, connection});
    else this.options.answer({id, connection});
  }
}

function heldModels(names: readonly string[]) {
  return names.map(name => ({name, version: 1, adapters: []}));
}

/** Header lines that each answer of a sound endpoint has. */
export function ownHeaders(id: string): string {
  return `Request-Id: ${id}\r\nServer-Signature: 3e1b.07\r\n`;
}
