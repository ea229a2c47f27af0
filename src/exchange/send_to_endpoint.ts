import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request,
} from 'node:http';
import {isConnectFailureCode} from '../errors/mod.ts';
import {ConnectionRecord} from './connection_record.ts';
import {isHttpStatus} from './is_http_status.ts';
import {watchConnection} from './watch_connection.ts';

/**
 * Time in which an endpoint must read the rest of a request that it has answered.
 * Until then, the request's body and the connection are still in use.
 */
const UNREAD_REQUEST_MILLISECONDS = 500;

/** Options of {@link sendToEndpoint}. */
export interface SendOptions {
  /** IP address and port. */
  address: string;
  method: string;
  /** Path with its query, as the caller sent it. */
  path: string;
  /** Alternating names and values, as sent on the wire. */
  headers: readonly string[];
  body: Buffer;
  agent: Agent;
  /** Whether the request must not follow others on its connection. @default false */
  usesNewConnection?: boolean;
  /** Time-out for establishing the connection. */
  connectTimeoutMilliseconds: number;
  /** Time-out for the head of the response. */
  responseTimeoutMilliseconds: number;
  /** Aborts the request and closes its connection. */
  signal: AbortSignal;
}

/** The head of an endpoint's response; its body is still to be read. */
export interface EndpointResponse {
  readonly kind: 'answer';
  readonly status: number;
  readonly message: IncomingMessage;
  /** Number of requests that were sent on its connection before. */
  readonly earlierRequests: number;
  /** Whether the body has a Content-Length or is chunked, so that its end is known. */
  readonly isFramed: boolean;
  /**
   * Whether the response is complete and all of its body has been read; to be asked at
   * the end of the message. After {@link abort} and the like, Node.js discards what it
   * has not passed on yet, and reports the end all the same.
   */
  readonly isWhole: () => boolean;
  /** Closes the connection. */
  readonly abort: () => void;
}

/** Outcome of sending a request. */
export type SendOutcome =
  | EndpointResponse
  | {
      /** The endpoint has received no byte of the request. */
      readonly kind: 'unsent';
      readonly reason: string;
      /** Whether it ended while all connections to the endpoint were in use. */
      readonly wasQueued: boolean;
    }
  | {
      /** The request was sent and may have been executed. */
      readonly kind: 'unknown';
      readonly reason: string;
      readonly timedOut: boolean;
    };

/** Sends a request once and waits for the head of the response. */
export function sendToEndpoint(options: SendOptions): Promise<SendOutcome> {
  const [host, port] = options.address.split(':');
  return new Promise(resolve => {
    if (options.signal.aborted) {
      resolve({
        kind: 'unsent',
        reason: 'the caller has left',
        wasQueued: false,
      });
      return;
    }
    let connected = false;
    let timedOut = false;
    let isTerminated = false;
    let earlierRequests = 0;
    let clientRequest: ClientRequest;
    try {
      clientRequest = request({
        host,
        port: Number(port),
        method: options.method,
        path: options.path,
        agent: options.usesNewConnection === true ? false : options.agent,
        headers: options.headers,
        setHost: false,
      });
    } catch (error) {
      // Node.js checks the address, path and headers before it connects.
      resolve({kind: 'unsent', reason: String(error), wasQueued: false});
      return;
    }
    const hasConnectionFailed = watchConnection(clientRequest);
    const terminate = (reason: string) => {
      isTerminated = true;
      // A reset also discards bytes that are still queued on an interrupted
      // link, so that the request does not arrive after it was aborted.
      if (connected) clientRequest.socket?.resetAndDestroy();
      clientRequest.destroy(new Error(reason));
      // Node.js emits no event for a request that is destroyed in the queue of its
      // agent until a connection is free.
      if (clientRequest.socket === null) {
        clearTimeout(timer);
        resolve({kind: 'unsent', reason, wasQueued: true});
      }
    };
    const abort = () => terminate('the request has ended');
    const timeoutHandler = (reason: string) => () => {
      timedOut = true;
      terminate(reason);
    };
    let timer = setTimeout(
      timeoutHandler('connection not established in time'),
      Math.min(
        options.connectTimeoutMilliseconds,
        options.responseTimeoutMilliseconds,
      ),
    );
    options.signal.addEventListener('abort', abort, {once: true});
    clientRequest.once('socket', socket => {
      earlierRequests = ConnectionRecord.of(socket).begin();
      const onConnect = () => {
        connected = true;
        clearTimeout(timer);
        timer = setTimeout(
          timeoutHandler('no answer in time'),
          options.responseTimeoutMilliseconds,
        );
      };
      if (socket.connecting) socket.once('connect', onConnect);
      else onConnect();
    });
    clientRequest.on('error', (error: Error & {code?: string}) => {
      clearTimeout(timer);
      const reason = error.code ?? error.message;
      if (!connected || isConnectFailureCode(error.code ?? '')) {
        resolve({kind: 'unsent', reason, wasQueued: false});
      } else {
        resolve({kind: 'unknown', reason, timedOut});
      }
    });
    // Without a listener, Node.js closes the connection and reports nothing else.
    clientRequest.once('upgrade', (_message, socket) => {
      clearTimeout(timer);
      socket.destroy();
      const reason = 'switched protocols without being asked';
      resolve({kind: 'unknown', reason, timedOut: false});
    });
    clientRequest.once('close', () => {
      options.signal.removeEventListener('abort', abort);
    });
    clientRequest.once('response', message => {
      clearTimeout(timer);
      const status = message.statusCode;
      if (!isHttpStatus(status)) {
        const reason = `${status} is no HTTP status`;
        resolve({kind: 'unknown', reason, timedOut: false});
        terminate(reason);
        return;
      }
      message.once('end', () => {
        if (clientRequest.writableFinished) return;
        timer = setTimeout(
          () => terminate('the endpoint does not read the request'),
          UNREAD_REQUEST_MILLISECONDS,
        );
        const cancel = () => clearTimeout(timer);
        clientRequest.once('finish', cancel);
        clientRequest.once('close', cancel);
      });
      resolve({
        kind: 'answer',
        status,
        message,
        earlierRequests,
        isFramed:
          message.headers['content-length'] !== undefined ||
          message.headers['transfer-encoding'] !== undefined,
        isWhole: () =>
          message.complete && !isTerminated && !hasConnectionFailed(),
        abort: () => terminate('the answer is not wanted'),
      });
    });
    clientRequest.end(options.body);
  });
}
