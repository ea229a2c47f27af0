import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

interface Pair {
  readonly client: Socket;
  readonly upstream: Socket;
  /** Whether nothing is forwarded any more, in either direction. */
  silent: boolean;
}

/**
 * Forwards TCP connections to a stand-in and shows faults of connections:
 * they are cut, or they go silent for good while new ones work.
 */
export class ConnectionProxy {
  /** Accepts new connections and forwards nothing. */
  swallowsNew = false;
  /** Bytes of the answer after which each new connection is cut. */
  cutsAfterBytes = Infinity;
  /** Bytes of the answer after which each new connection goes silent. */
  silentAfterBytes = Infinity;
  /** Connections accepted so far. */
  accepted = 0;
  private readonly pairs = new Set<Pair>();
  private readonly server: Server;

  constructor(private readonly targetPort: () => number) {
    this.server = createServer(client => this.accept(client));
  }

  /** Address such as `http://127.0.0.1:7001`. */
  get address(): string {
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  async start(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  async stop(): Promise<void> {
    this.cutAll();
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
    });
  }

  /** Cuts all open connections. */
  cutAll(): void {
    for (const pair of this.pairs) this.cut(pair);
  }

  /** Makes all open connections silent for good. */
  silenceAll(): void {
    for (const pair of this.pairs) pair.silent = true;
  }

  /** Clears the faults of new connections. */
  heal(): void {
    this.swallowsNew = false;
    this.cutsAfterBytes = Infinity;
    this.silentAfterBytes = Infinity;
  }

  private accept(client: Socket): void {
    this.accepted++;
    const upstream = connect(this.targetPort(), '127.0.0.1');
    const pair = {client, upstream, silent: this.swallowsNew};
    this.pairs.add(pair);
    const {cutsAfterBytes, silentAfterBytes} = this;
    let answered = 0;
    client.on('data', data => {
      if (!pair.silent) upstream.write(data);
    });
    upstream.on('data', data => {
      if (pair.silent) return;
      const limit = Math.min(cutsAfterBytes, silentAfterBytes);
      const part = data.subarray(0, limit - answered);
      answered += part.length;
      client.write(part);
      if (answered < limit) return;
      if (cutsAfterBytes <= silentAfterBytes) {
        // Lets the last part leave before the reset.
        setImmediate(() => this.cut(pair));
      } else {
        pair.silent = true;
      }
    });
    for (const socket of [client, upstream]) {
      socket.on('error', () => this.cut(pair));
      socket.on('close', () => {
        // A silent connection does not show that its other end is gone.
        if (!pair.silent || socket === client) this.cut(pair);
      });
    }
  }

  private cut(pair: Pair): void {
    this.pairs.delete(pair);
    pair.client.destroy();
    pair.upstream.destroy();
  }
}
