import {type Agent, type IncomingMessage, request} from 'node:http';
import {isNotConnectedCode} from '../errors/mod.ts';

/** Options of {@link sendToEndpoint}. */
export interface SendOptions {
  /** IP number and port. */
  address: string;
  method: string;
  /** Path with its query, as the caller sent it. */
  path: string;
  /** Names and values in turn, as they go on the wire. */
  headers: readonly string[];
  body: Buffer;
  agent: Agent;
  /** Milliseconds until a connection that isn't established is given up. */
  connectTimeoutMilliseconds: number;
  /** Milliseconds until an answer that hasn't begun is given up. */
  responseTimeoutMilliseconds: number;
  /** Ends the exchange and closes its connection. */
  signal: AbortSignal;
}

/** The beginning of an endpoint's answer. */
export interface EndpointResponse {
  readonly kind: 'answer';
  readonly status: number;
  readonly message: IncomingMessage;
  /** Whether the body has a length or chunks, so that its end is known. */
  readonly isFramed: boolean;
  /**
   * Whether the connection has failed. Node.js takes a body without a length
   * for complete even if its connection was reset.
   */
  readonly hasConnectionFailed: () => boolean;
  /** Closes the connection. */
  readonly abort: () => void;
}

/** What came of sending a request. */
export type SendOutcome =
  | EndpointResponse
  | {
      /** No byte of the request has reached the endpoint. */
      readonly kind: 'unsent';
      readonly reason: string;
    }
  | {
      /** The request was sent, and may have run. */
      readonly kind: 'unknown';
      readonly reason: string;
      readonly timedOut: boolean;
    };

/** Sends a request once and waits for the head of the answer. */
export function sendToEndpoint(options: SendOptions): Promise<SendOutcome> {
  const [host, port] = options.address.split(':');
  return new Promise(resolve => {
    if (options.signal.aborted) {
      resolve({kind: 'unsent', reason: 'the caller has left'});
      return;
    }
    let connected = false;
    let timedOut = false;
    let hasFailed = false;
    const exchange = request({
      host,
      port: Number(port),
      method: options.method,
      path: options.path,
      agent: options.agent,
      headers: options.headers,
      setHost: false,
    });
    const end = (reason: string) => {
      // A reset also discards bytes that a cut link still holds back, so that
      // the request does not arrive after it was given up.
      if (connected) exchange.socket?.resetAndDestroy();
      exchange.destroy(new Error(reason));
    };
    const abort = () => end('the request has ended');
    const expire = (reason: string) => () => {
      timedOut = true;
      end(reason);
    };
    let timer = setTimeout(
      expire('connection not established in time'),
      Math.min(
        options.connectTimeoutMilliseconds,
        options.responseTimeoutMilliseconds,
      ),
    );
    options.signal.addEventListener('abort', abort, {once: true});
    exchange.once('socket', socket => {
      const noteFailure = () => {
        hasFailed = true;
      };
      socket.once('error', noteFailure);
      exchange.once('close', () => socket.removeListener('error', noteFailure));
      const established = () => {
        connected = true;
        clearTimeout(timer);
        timer = setTimeout(
          expire('no answer in time'),
          options.responseTimeoutMilliseconds,
        );
      };
      if (socket.connecting) socket.once('connect', established);
      else established();
    });
    exchange.on('error', (error: Error & {code?: string}) => {
      clearTimeout(timer);
      const reason = error.code ?? error.message;
      if (!connected || isNotConnectedCode(error.code ?? '')) {
        resolve({kind: 'unsent', reason});
      } else {
        resolve({kind: 'unknown', reason, timedOut});
      }
    });
    exchange.once('close', () => {
      options.signal.removeEventListener('abort', abort);
    });
    exchange.once('response', message => {
      clearTimeout(timer);
      resolve({
        kind: 'answer',
        status: message.statusCode ?? 0,
        message,
        isFramed:
          message.headers['content-length'] !== undefined ||
          message.headers['transfer-encoding'] !== undefined,
        hasConnectionFailed: () => hasFailed,
        abort: () => end('the answer is not wanted'),
      });
    });
    exchange.end(options.body);
  });
}
