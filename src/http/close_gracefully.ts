import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {isUnframed} from '../exchange/mod.ts';
import {Server as NetServer, type Socket} from 'node:net';
import {type Clock, sleep} from '../time/mod.ts';

/** Options of {@link closeGracefully}. */
export interface CloseOptions {
  clock: Clock;
  /** Time after which the remaining connections are destroyed. */
  timeoutMilliseconds: number;
  /** Called before connections are destroyed at the time-out. */
  onTimeout?: (connections: number) => void;
}

const CHECK_MILLISECONDS = 10;

/** A request may be on its way on a connection that became idle just now. */
const QUIET_MILLISECONDS = 50;

const trackedServers = new WeakMap<Server, TrackedServer>();

/**
 * Follows the connections of a server, so that {@link closeGracefully} can close
 * it. Must be called before the server listens.
 */
export function trackConnections(server: Server): void {
  trackedServers.set(server, new TrackedServer(server));
}

/**
 * Closes a server without cutting a request or a response. The server stops
 * accepting connections, closes the idle ones, and the others once their
 * requests are answered and the answers are written out. New requests on open
 * connections are still passed to the request handler; their responses close
 * the connection. Connections that are left at the time-out are destroyed.
 *
 * @example
 * ```ts
 * trackConnections(server);
 * server.listen(8080);
 * await closeGracefully(server, {clock, timeoutMilliseconds: 700});
 * ```
 */
export async function closeGracefully(
  server: Server,
  options: CloseOptions,
): Promise<void> {
  const tracked = trackedServers.get(server);
  if (tracked === undefined) throw new TypeError('The server is not tracked');
  const {clock, timeoutMilliseconds, onTimeout} = options;
  const deadlineAt = clock.monotonicMilliseconds() + timeoutMilliseconds;
  // Accepts the connections in the backlog, which are reset otherwise.
  await pollPhase();
  tracked.close();
  let checkedAt = clock.monotonicMilliseconds();
  for (;;) {
    await pollPhase();
    const now = clock.monotonicMilliseconds();
    tracked.closeIdle(now - checkedAt);
    checkedAt = now;
    if (tracked.size === 0) return;
    const remaining = deadlineAt - now;
    if (remaining <= 0) break;
    await sleep(clock, Math.min(CHECK_MILLISECONDS, remaining));
  }
  onTimeout?.(tracked.size);
  tracked.destroy();
}

/** Resolves once the event loop has read what had arrived before. */
function pollPhase(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(() => setImmediate(resolve));
  });
}

/** A connection and how long it has been idle while the server closes. */
interface TrackedConnection {
  /** Requests and responses that have not ended. */
  openMessages: number;
  /** Bytes read when the last message ended. */
  bytesRead: number;
  quietMilliseconds: number;
  /** Whether a response has begun whose end is that of the connection. */
  hasUnframedBody: () => boolean;
}

class TrackedServer {
  private readonly connections = new Map<Socket, TrackedConnection>();
  private isClosing = false;

  constructor(private readonly server: Server) {
    server.on('connection', socket => this.addConnection(socket));
    server.prependListener('request', (request, response) =>
      this.addRequest(request, response),
    );
  }

  /** Number of open connections. */
  get size(): number {
    return this.connections.size;
  }

  /** Stops accepting connections. */
  close(): void {
    this.isClosing = true;
    // The `close` method of an HTTP server also destroys connections whose
    // response has ended but is not yet written out.
    NetServer.prototype.close.call(this.server);
  }

  /** Closes the connections that have been idle for long enough. */
  closeIdle(elapsedMilliseconds: number): void {
    for (const [socket, connection] of this.connections) {
      const isIdle =
        connection.openMessages === 0 &&
        connection.bytesRead === socket.bytesRead &&
        socket.writableLength === 0;
      connection.quietMilliseconds = isIdle
        ? connection.quietMilliseconds + elapsedMilliseconds
        : 0;
      if (connection.quietMilliseconds >= QUIET_MILLISECONDS) socket.destroy();
    }
  }

  /**
   * Destroys all connections. Those with a body without a length are reset, since it
   * would look complete at the end of its connection.
   */
  destroy(): void {
    for (const [socket, {hasUnframedBody}] of this.connections) {
      if (hasUnframedBody()) socket.resetAndDestroy();
      else socket.destroy();
    }
  }

  private addConnection(socket: Socket): void {
    this.connections.set(socket, {
      openMessages: 0,
      bytesRead: 0,
      quietMilliseconds: 0,
      hasUnframedBody: () => false,
    });
    socket.once('close', () => this.connections.delete(socket));
  }

  private addRequest(request: IncomingMessage, response: ServerResponse): void {
    if (this.isClosing) response.shouldKeepAlive = false;
    const {socket} = request;
    const connection = this.connections.get(socket);
    if (connection === undefined) return;
    connection.openMessages += 2;
    connection.hasUnframedBody = () => isUnframed(response);
    const endMessage = () => {
      connection.openMessages--;
      connection.bytesRead = socket.bytesRead;
      connection.quietMilliseconds = 0;
    };
    request.once('close', endMessage);
    response.once('close', endMessage);
  }
}
