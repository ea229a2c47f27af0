import {createServer, type Server, type Socket} from 'node:net';
import type {PlatformStoreStandIn} from '../../src/testing/platform_store_stand_in.ts';

/** Options of {@link FloodingEngine}. */
export interface FloodingEngineOptions {
  readonly id: string;
  readonly model: string;
  readonly zone: string;
  /** Status line of the answers with endless bytes. */
  readonly status: string;
  /** First bytes of the body. */
  readonly start: string;
  readonly record: (line: string) => void;
}

/** Bytes of one piece of a stream on the site, and of one chunk here. */
const PIECE_BYTES = 55;

const BLOCK_BYTES = 64 * 1024;

/**
 * Model engine that answers requests soundly until it is in trouble. It then sends a
 * proper head and bytes without end, in chunks as large as its usual pieces, until its
 * caller closes the connection.
 */
export class FloodingEngine {
  isInTrouble = false;
  /** Ids of the requests that it ran. */
  readonly ran: string[] = [];
  private readonly connections = new Set<Socket>();
  private readonly server: Server;

  private constructor(private readonly options: FloodingEngineOptions) {
    this.server = createServer(connection => this.serve(connection));
  }

  /** Starts an engine and registers it. */
  static async start(
    options: FloodingEngineOptions,
    store: PlatformStoreStandIn,
  ): Promise<FloodingEngine> {
    const engine = new FloodingEngine(options);
    await new Promise<void>(resolve =>
      engine.server.listen(0, '127.0.0.1', resolve),
    );
    const address = engine.server.address();
    const port =
      typeof address === 'object' && address !== null ? address.port : 0;
    store.put('servers', options.id, {
      service: 'dil-model',
      address: `127.0.0.1:${port}`,
      zone: options.zone,
      version: 'v1',
      slots: 64,
      state: 'ready',
      cold_remaining_ms: 0,
      stage: 'combined',
      models: [{name: options.model, version: 1, adapters: []}],
      available: {in_memory: [], on_disk: []},
      sequence: 1,
      born: Date.now(),
    });
    return engine;
  }

  /** Ends the engine. */
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
        this.answer(connection, head);
      }
    });
  }

  private answer(connection: Socket, head: string): void {
    if (head.includes(' /limpetdale/')) {
      const report = JSON.stringify({
        stage: 'combined',
        models: [{name: this.options.model, version: 1, adapters: []}],
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
    this.ran.push(id);
    this.options.record(
      `${this.options.id} runs ${id}${this.isInTrouble ? ' and answers without end' : ''}`,
    );
    const own =
      `Request-Id: ${id}\r\nServer-Signature: 3e1b.07\r\n` +
      'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n';
    if (this.isInTrouble) {
      connection.write(`HTTP/1.1 ${this.options.status}\r\n${own}`);
      if (this.options.start !== '')
        connection.write(chunkOf(this.options.start));
      flood(connection);
      return;
    }
    const event = 'id: 1\ndata: a whole event\n\n';
    connection.write(`HTTP/1.1 200 OK\r\n${own}${chunkOf(event)}0\r\n\r\n`);
  }
}

function chunkOf(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function flood(connection: Socket): void {
  const chunk = chunkOf('x'.repeat(PIECE_BYTES));
  const block = Buffer.from(
    chunk.repeat(Math.ceil(BLOCK_BYTES / chunk.length)),
  );
  const write = () => {
    if (connection.destroyed) return;
    if (connection.write(block)) setImmediate(write);
    else connection.once('drain', write);
  };
  write();
}
