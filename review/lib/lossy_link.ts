import {connect, createServer, type Server, type Socket} from 'node:net';

/** Order of a holder, as it arrives at an engine. */
export interface ArrivedOrder {
  readonly engine: string;
  readonly at: number;
  readonly holder: string;
  readonly fencingToken: number;
  readonly operation: string;
}

/** Options of {@link LossyLink}. */
export interface LossyLinkOptions {
  readonly engine: string;
  readonly address: string;
  /** Called for each order when it is passed on to the engine. */
  readonly onOrder: (order: ArrivedOrder) => void;
  /** Called when the engine has answered on a connection that had carried an order. */
  readonly onAnswer: (holder: string) => void;
}

/** Shortest time after which Linux sends a lost packet again, and the time of the way. */
const RETRANSMISSION_MILLISECONDS = 210;

/** Link to an engine, which can lose a packet with an order of a holder. */
export class LossyLink {
  /** Holder whose next order is in a packet that is lost once. */
  losesOrderOf: string | undefined;
  /** Called when a packet was lost. */
  onLoss: () => void = () => undefined;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  private constructor(private readonly options: LossyLinkOptions) {
    this.server = createServer(caller => this.carry(caller));
  }

  /** Starts a link to an engine's address. */
  static async start(options: LossyLinkOptions): Promise<LossyLink> {
    const link = new LossyLink(options);
    await new Promise<void>(resolve =>
      link.server.listen(0, '127.0.0.1', resolve),
    );
    return link;
  }

  /** Address at which hosts reach the engine. */
  get address(): string {
    const address = this.server.address();
    const port =
      typeof address === 'object' && address !== null ? address.port : 0;
    return `127.0.0.1:${port}`;
  }

  /** Ends the link. */
  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private carry(caller: Socket): void {
    const [host, port] = this.options.address.split(':');
    const engine = connect({host: host ?? '', port: Number(port)});
    let holder: string | undefined;
    for (const socket of [caller, engine]) {
      this.sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        this.sockets.delete(socket);
        caller.destroy();
        engine.destroy();
      });
    }
    caller.on('data', (bytes: Buffer) => {
      const order = decodeOrder(bytes);
      holder = order?.holder;
      const pass = () => {
        if (engine.destroyed) return;
        if (order !== undefined) {
          const {engine: name, onOrder} = this.options;
          onOrder({engine: name, at: performance.now(), ...order});
        }
        engine.write(bytes);
      };
      if (order === undefined || this.losesOrderOf !== order.holder) {
        pass();
        return;
      }
      this.losesOrderOf = undefined;
      this.onLoss();
      setTimeout(pass, RETRANSMISSION_MILLISECONDS);
    });
    engine.on('data', (bytes: Buffer) => {
      caller.write(bytes);
      if (holder !== undefined) this.options.onAnswer(holder);
      holder = undefined;
    });
  }
}

/** Decodes a packet with an order; the head and the body come in one. */
function decodeOrder(
  bytes: Buffer,
): Omit<ArrivedOrder, 'engine' | 'at'> | undefined {
  const text = bytes.toString('latin1');
  if (!text.startsWith('POST /limpetdale/order ')) return undefined;
  const body = JSON.parse(text.slice(text.indexOf('\r\n\r\n') + 4)) as {
    holder: string;
    fencing_token: number;
    operation: string;
  };
  return {
    holder: body.holder,
    fencingToken: body.fencing_token,
    operation: body.operation,
  };
}
