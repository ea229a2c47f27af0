import {Agent, type ClientRequest} from 'node:http';
import type {Duplex} from 'node:stream';
import type {Socket} from 'node:net';

/** Options of {@link EndpointAgent}. */
export interface EndpointAgentOptions {
  /** Maximum number of connections from this host to the endpoint. */
  maximumConnections: number;
  /** Milliseconds after which an idle connection is closed. */
  idleTimeoutMilliseconds: number;
}

/**
 * Connection pool of one endpoint. An idle connection is closed when bytes
 * arrive on it: they belong to no request and must not be parsed as the response
 * to the next one.
 */
export class EndpointAgent extends Agent {
  private readonly idleTimeoutMilliseconds: number;

  constructor(options: EndpointAgentOptions) {
    super({
      keepAlive: true,
      maxSockets: options.maximumConnections,
      scheduling: 'lifo',
    });
    this.idleTimeoutMilliseconds = options.idleTimeoutMilliseconds;
  }

  /** Decides whether a connection is kept after a response; called by Node.js. */
  override keepSocketAlive(socket: Duplex): boolean {
    // The type declarations omit the result: whether to keep the connection.
    const isKept: unknown = super.keepSocketAlive(socket);
    if (isKept !== true) return false;
    const connection = socket as Socket;
    const keepAliveTimeout = connection.timeout ?? 0;
    const idleTimeout =
      keepAliveTimeout > 0
        ? Math.min(keepAliveTimeout, this.idleTimeoutMilliseconds)
        : this.idleTimeoutMilliseconds;
    connection.setTimeout(idleTimeout);
    connection.once('timeout', closeIdle);
    connection.once('data', closeIdle);
    return true;
  }

  /** Assigns an idle connection to a request; called by Node.js. */
  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    const connection = socket as Socket;
    connection.removeListener('timeout', closeIdle);
    connection.removeListener('data', closeIdle);
    connection.setTimeout(0);
    super.reuseSocket(socket, request);
  }
}

function closeIdle(this: Socket): void {
  this.destroy();
}
