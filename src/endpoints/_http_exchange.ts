import {Agent, type ClientRequest, type IncomingMessage} from 'node:http';
import type {Readable} from 'node:stream';
import {got, type Method, RequestError, TimeoutError} from 'got';
import {
  failure,
  isConnectFailureCode,
  type Result,
  success,
} from '../errors/mod.ts';
import {ByteCollector} from '../bytes/mod.ts';
import {isHttpStatus, watchConnection} from '../exchange/mod.ts';
import {type Clock, SystemClock} from '../time/mod.ts';
import {readWithTimeout, InactivityTimeoutError} from './_read_with_timeout.ts';
import type {EndpointError, EndpointStep} from './endpoint_error.ts';
import {EndpointFailure} from './endpoint_failure.ts';

/** Time-outs of exchanges with endpoints, in milliseconds. */
export interface ExchangeTimeouts {
  /** Time to connect. @default 1000 */
  connectMilliseconds?: number;
  /** Maximum time without data. @default 10000 */
  progressMilliseconds?: number;
  /** Time for which an idle connection is kept. @default 1500 */
  idleMilliseconds?: number;
  /** Clock that times the progress of bodies. @default the system clock */
  clock?: Clock;
}

/** One HTTP request. */
export interface ExchangeRequest {
  readonly step: EndpointStep;
  readonly method: string;
  /** Path and query, starting with `/`. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | string;
  /** Whether to open a new connection for this request alone. */
  readonly freshConnection?: boolean;
  /** Overrides the client's progress time-out for this exchange. */
  readonly progressMilliseconds?: number | undefined;
  readonly signal?: AbortSignal;
}

/** Status and headers of a response, and its body as a stream. */
export interface ExchangeResponse {
  readonly status: number;
  readonly message: IncomingMessage;
  /** Throws an {@link EndpointFailure} if the response is truncated or times out. */
  readonly body: AsyncIterable<Buffer>;
  /** Ends the exchange, whether or not the body was read. */
  readonly close: () => void;
  /** Discards the rest of the body; the connection is kept if the body ends soon. */
  readonly release: () => void;
}

const SYSTEM_CLOCK = new SystemClock();
/** Time for a discarded body to end before its connection is closed. */
const RELEASE_MILLISECONDS = 500;
const DEFAULT_CONNECT_MILLISECONDS = 1000;
const DEFAULT_PROGRESS_MILLISECONDS = 10_000;
const DEFAULT_IDLE_MILLISECONDS = 1500;

const BODILESS_METHODS = new Set(['GET', 'HEAD']);

/** HTTP exchanges with one endpoint, with time-outs but no retries or redirects. */
export class HttpExchange {
  private readonly keepAliveAgent: Agent;
  private readonly singleUseAgent = new Agent({keepAlive: false});

  constructor(
    private readonly peer: string,
    private readonly address: string,
    private readonly timeouts: ExchangeTimeouts,
  ) {
    this.keepAliveAgent = new Agent({
      keepAlive: true,
      scheduling: 'lifo',
      // With a longer idle time, more reused connections turn out to be closed
      // by the endpoint or to have gone silent.
      timeout: timeouts.idleMilliseconds ?? DEFAULT_IDLE_MILLISECONDS,
    });
  }

  /** Sends a request and resolves when the response headers have arrived. */
  open(
    request: ExchangeRequest,
  ): Promise<Result<ExchangeResponse, EndpointError>> {
    const {step} = request;
    if (request.signal?.aborted) {
      return Promise.resolve(failure(this.cancelledError(step)));
    }
    const progress =
      request.progressMilliseconds ??
      this.timeouts.progressMilliseconds ??
      DEFAULT_PROGRESS_MILLISECONDS;
    const stream = got.stream(this.address + request.path, {
      method: request.method as Method,
      ...(request.headers === undefined ? {} : {headers: request.headers}),
      ...(request.body === undefined ? {} : {body: request.body}),
      ...(request.signal === undefined ? {} : {signal: request.signal}),
      agent: {
        http: request.freshConnection
          ? this.singleUseAgent
          : this.keepAliveAgent,
      },
      retry: {limit: 0},
      followRedirect: false,
      throwHttpErrors: false,
      decompress: false,
      timeout: {
        connect:
          this.timeouts.connectMilliseconds ?? DEFAULT_CONNECT_MILLISECONDS,
        send: progress,
        response: progress,
      },
    });
    // Otherwise got waits for a request body to be written to the stream.
    if (request.body === undefined && !BODILESS_METHODS.has(request.method)) {
      stream.end();
    }
    let hasConnectionFailed = () => false;
    stream.once('request', (clientRequest: ClientRequest) => {
      hasConnectionFailed = watchConnection(clientRequest);
      // Without a listener, Node.js closes the connection and reports nothing else.
      clientRequest.once('upgrade', (_message, socket) => {
        socket.destroy();
        stream.destroy(new Error('Switched protocols without being asked'));
      });
    });
    return new Promise(resolve => {
      stream.once('response', (message: IncomingMessage) => {
        const status = message.statusCode;
        if (!isHttpStatus(status)) {
          const reason = `${status} is no HTTP status`;
          resolve(failure(this.invalidAnswerError(step, reason)));
          stream.destroy();
          return;
        }
        const body = this.readBody(stream, progress, () =>
          hasConnectionFailed(),
        );
        const close = () => {
          stream.destroy();
        };
        const release = () => this.release(stream);
        resolve(success({status, message, body, close, release}));
      });
      // Not `once`: without a listener, an error of an unread body would be
      // uncaught and end the process.
      stream.on('error', error => {
        resolve(failure(this.toEndpointError(step, error)));
      });
    });
  }

  /** Sends a request and reads the whole response as text. */
  async readText(
    request: ExchangeRequest,
    maximumBytes: number,
  ): Promise<
    Result<{readonly status: number; readonly text: string}, EndpointError>
  > {
    const answer = await this.open(request);
    if (!answer.ok) return answer;
    const collector = new ByteCollector();
    try {
      for await (const chunk of answer.value.body) {
        if (collector.length + chunk.length > maximumBytes) {
          answer.value.close();
          const reason = `The response is longer than ${maximumBytes} bytes`;
          return failure(this.invalidAnswerError(request.step, reason));
        }
        collector.append(chunk);
      }
    } catch (error) {
      return failure(this.toEndpointError(request.step, error));
    }
    const text = collector.take().toString('utf8');
    return success({status: answer.value.status, text});
  }

  /** Converts an exception of the body stream or of got. */
  toEndpointError(step: EndpointStep, error: unknown): EndpointError {
    if (error instanceof EndpointFailure) return error.error;
    const reason = error instanceof Error ? error.message : String(error);
    const common = {step, peer: this.peer, reason};
    if (error instanceof InactivityTimeoutError)
      return {...common, kind: 'silent'};
    if (error instanceof TimeoutError) {
      return error.event === 'connect' || error.event === 'lookup'
        ? {...common, kind: 'unreachable', refused: false}
        : {...common, kind: 'silent'};
    }
    const code = error instanceof RequestError ? error.code : '';
    if (code === 'ABORT_ERR' || code === 'ERR_ABORTED') {
      return {...common, kind: 'cancelled'};
    }
    if (error instanceof Error && error.name === 'AbortError') {
      return {...common, kind: 'cancelled'};
    }
    if (isConnectFailureCode(code)) {
      const refused = code === 'ECONNREFUSED';
      return {...common, kind: 'unreachable', refused};
    }
    return {...common, kind: 'broken'};
  }

  /** Creates the error for a response that violates the protocol. */
  invalidAnswerError(step: EndpointStep, reason: string): EndpointError {
    return {kind: 'invalid_answer', step, peer: this.peer, reason};
  }

  /** Closes all connections. */
  close(): void {
    this.keepAliveAgent.destroy();
    this.singleUseAgent.destroy();
  }

  private async *readBody(
    stream: Readable,
    progressMilliseconds: number,
    hasConnectionFailed: () => boolean,
  ): AsyncGenerator<Buffer, void, undefined> {
    const clock = this.timeouts.clock ?? SYSTEM_CLOCK;
    try {
      yield* readWithTimeout(stream, progressMilliseconds, clock);
      if (hasConnectionFailed()) {
        throw new Error('The connection was reset within the response');
      }
    } catch (error) {
      stream.destroy();
      throw new EndpointFailure(this.toEndpointError('receive', error));
    }
  }

  private release(stream: Readable): void {
    if (stream.readableEnded) return;
    const clock = this.timeouts.clock ?? SYSTEM_CLOCK;
    const cancel = clock.startTimer(RELEASE_MILLISECONDS, () => {
      stream.destroy();
    });
    stream.once('close', cancel);
    stream.once('end', cancel);
    stream.resume();
  }

  private cancelledError(step: EndpointStep): EndpointError {
    const reason = 'Cancelled before the request was sent';
    return {kind: 'cancelled', step, peer: this.peer, reason};
  }
}
