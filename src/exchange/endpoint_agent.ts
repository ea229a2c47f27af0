import {Agent, type ClientRequest} from 'node:http';
import type {Duplex} from 'node:stream';
import type {Socket} from 'node:net';

/** Options of {@link EndpointAgent}. */
export interface EndpointAgentOptions {
  /** Connections to the endpoint that this host may have open. */
  maximumConnections: number;
  /** Milliseconds after which an idle connection is closed. */
  idleMilliseconds: number;
}

/**
 * Connections to one endpoint. An idle connection on which bytes arrive is
 * closed: they belong to no request, and must not be taken for the next answer.
 */
export class EndpointAgent extends Agent {
  private readonly idleMilliseconds: number;

  constructor(options: EndpointAgentOptions) {
    super({
      keepAlive: true,
      maxSockets: options.maximumConnections,
      scheduling: 'lifo',
    });
    this.idleMilliseconds = options.idleMilliseconds;
  }

  /** Keeps a connection whose answer has ended; called by Node.js. */
  override keepSocketAlive(socket: Duplex): boolean {
    // The types omit the result, which says whether to keep the connection.
    const kept: unknown = super.keepSocketAlive(socket);
    if (kept !== true) return false;
    const connection = socket as Socket;
    const announced = connection.timeout ?? 0;
    const idle =
      announced > 0
        ? Math.min(announced, this.idleMilliseconds)
        : this.idleMilliseconds;
    connection.setTimeout(idle);
    connection.once('timeout', closeIdle);
    connection.once('data', closeIdle);
    return true;
  }

  /** Hands an idle connection to a request; called by Node.js. */
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
