import {createServer, request, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';

/** The way of one host to the store, which can turn that host away. */
export class StoreProxy {
  /** Whether calls get 503, which says that nothing was done. */
  turnsAway = false;
  private readonly server: Server;

  private constructor(store: string) {
    const [host = '', port = ''] = store.split(':');
    this.server = createServer((incoming, outgoing) => {
      if (this.turnsAway) {
        incoming.resume();
        outgoing.writeHead(503).end();
        return;
      }
      const passed = request(
        {
          host,
          port: Number(port),
          method: incoming.method,
          path: incoming.url,
          headers: incoming.headers,
        },
        response => {
          outgoing.writeHead(response.statusCode ?? 502, response.headers);
          response.pipe(outgoing);
        },
      );
      passed.on('error', () => outgoing.destroy());
      incoming.pipe(passed);
    });
  }

  /** Starts a proxy on a free loopback port. */
  static async start(store: string): Promise<StoreProxy> {
    const proxy = new StoreProxy(store);
    await new Promise<void>(resolve =>
      proxy.server.listen(0, '127.0.0.1', () => resolve()),
    );
    return proxy;
  }

  /** IP number and port. */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Ends the proxy. */
  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}
