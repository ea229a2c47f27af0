import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import express, {
  type Express,
  type NextFunction,
  type Request,
  type Response,
} from 'express';
import {type Faults, faultsSchema, NO_FAULTS} from './faults.ts';

/** Options of {@link StandInServer}. */
export interface StandInServerOptions {
  /** Port to listen on; 0 for any. @default 0 */
  port?: number;
  /** Largest body in bytes. @default 67108864 */
  maximumBodyBytes?: number;
  /** Returns a number in [0, 1) for faults by chance. @default Math.random */
  random?: () => number;
}

/**
 * HTTP server of a stand-in, with faults that tests set directly or by
 * `POST /_control`.
 */
export class StandInServer {
  readonly application: Express;
  faults: Faults = NO_FAULTS;
  private readonly server: Server;
  private boundPort: number;

  constructor(private readonly options: StandInServerOptions = {}) {
    this.boundPort = options.port ?? 0;
    this.application = express();
    this.server = createServer(this.application);
    this.application.use(
      express.json({
        limit: options.maximumBodyBytes ?? 64 * 1024 * 1024,
        strict: false,
      }),
    );
    this.application.post('/_control', (request, response) => {
      const parsed = faultsSchema.partial().safeParse(request.body);
      if (!parsed.success) {
        response.status(400).json({error: parsed.error.message});
        return;
      }
      this.faults = faultsSchema.parse({...this.faults, ...parsed.data});
      response.json(this.faults);
    });
    this.application.use((request, response, next) => {
      this.applyFaults(request, response, next);
    });
  }

  /** Address such as `http://127.0.0.1:7001`. */
  get address(): string {
    return `http://127.0.0.1:${this.boundPort}`;
  }

  /** Port on which it listens, or listened last. */
  get port(): number {
    return this.boundPort;
  }

  /** Starts to listen; the same port is used again after a stop. */
  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.boundPort, '127.0.0.1', () => {
        this.server.off('error', reject);
        resolve();
      });
    });
    this.boundPort = (this.server.address() as AddressInfo).port;
  }

  /** Stops listening and cuts all connections. */
  async stop(): Promise<void> {
    if (!this.server.listening) return;
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private applyFaults(
    request: Request,
    response: Response,
    next: NextFunction,
  ): void {
    const {faults} = this;
    if (faults.silent) return;
    if (faults.down) {
      response.status(503).json({error: 'down'});
      return;
    }
    const random = this.options.random ?? Math.random;
    if (faults.loseAnswers > 0 && random() < faults.loseAnswers) {
      loseAnswer(request, response);
    }
    if (faults.delayMilliseconds > 0) {
      setTimeout(next, faults.delayMilliseconds);
    } else {
      next();
    }
  }
}

/** Lets the handler run and cuts the connection instead of answering. */
function loseAnswer(request: Request, response: Response): void {
  response.json = () => {
    request.socket.destroy();
    return response;
  };
}
