import {type Agent, type ClientRequest, request} from 'node:http';
import {
  failure,
  isConnectFailureCode,
  type Result,
  success,
} from '../errors/mod.ts';
import {ByteCollector} from '../bytes/mod.ts';
import {isHttpStatus} from './is_http_status.ts';
import {watchConnection} from './watch_connection.ts';

/** Options of {@link callHttp}. */
export interface CallHttpOptions {
  /** IP address and port. */
  address: string;
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  /** Request body; sent as JSON. */
  body?: unknown;
  headers?: Readonly<Record<string, string>>;
  agent: Agent;
  /** Time-out for the call up to the end of the response. */
  timeoutMilliseconds: number;
}

/**
 * Maximum size of a response. Pages of the store have at most 1 MB, which base64 and
 * JSON enlarge; anything larger is not a response to a control call.
 */
const MAXIMUM_RESPONSE_BYTES = 4 * 1024 * 1024;

/** The complete response to a control call. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

/** Why a control call got no response. */
export interface HttpCallError {
  readonly reason: string;
  /** Whether the server may have received the call. */
  readonly mayHaveArrived: boolean;
}

/**
 * Makes one control call without retries. Callers' requests do not use it.
 * Uses `node:http` instead of `got`, because loading `got` delays the restart of
 * a host, and its retries and redirects would have to be disabled.
 */
export function callHttp(
  options: CallHttpOptions,
): Promise<Result<HttpResponse, HttpCallError>> {
  const [host, port] = options.address.split(':');
  const body =
    options.body === undefined ? undefined : JSON.stringify(options.body);
  return new Promise(resolve => {
    let connected = false;
    let clientRequest: ClientRequest;
    try {
      clientRequest = request({
        host,
        port: Number(port),
        method: options.method,
        path: options.path,
        agent: options.agent,
        headers: {
          ...options.headers,
          ...(body === undefined
            ? {}
            : {
                'content-type': 'application/json',
                'content-length': Buffer.byteLength(body),
              }),
        },
      });
    } catch (error) {
      resolve(failure({reason: String(error), mayHaveArrived: false}));
      return;
    }
    const hasConnectionFailed = watchConnection(clientRequest);
    let terminatedFor: string | undefined;
    const terminate = (reason: string) => {
      terminatedFor = reason;
      clientRequest.destroy(new Error(reason));
    };
    const timer = setTimeout(() => {
      // A reset also discards bytes that are still queued on an interrupted link.
      if (connected) clientRequest.socket?.resetAndDestroy();
      terminate('timed out');
    }, options.timeoutMilliseconds);
    const fail = (error: Error & {code?: string}) => {
      clearTimeout(timer);
      const isNotConnected = isConnectFailureCode(error.code ?? '');
      resolve(
        failure({
          reason: `${options.method} ${options.address}: ${error.message}`,
          mayHaveArrived: connected && !isNotConnected,
        }),
      );
    };
    clientRequest.on('socket', socket => {
      if (!socket.connecting) connected = true;
      else socket.once('connect', () => (connected = true));
    });
    clientRequest.on('error', fail);
    // Without a listener, Node.js closes the connection and reports nothing else.
    clientRequest.on('upgrade', (_message, socket) => {
      socket.destroy();
      fail(new Error('switched protocols without being asked'));
    });
    clientRequest.on('response', response => {
      const status = response.statusCode;
      if (!isHttpStatus(status)) {
        fail(new Error(`${status} is no HTTP status`));
        terminate('invalid status');
        return;
      }
      const collector = new ByteCollector();
      response.on('data', (chunk: Buffer) => {
        if (collector.length + chunk.length <= MAXIMUM_RESPONSE_BYTES) {
          collector.append(chunk);
          return;
        }
        collector.clear();
        terminate(`response exceeds ${MAXIMUM_RESPONSE_BYTES} bytes`);
      });
      response.on('error', fail);
      response.on('end', () => {
        // Node.js reports the end of a response whose rest it has discarded.
        if (terminatedFor !== undefined) {
          fail(new Error(terminatedFor));
          return;
        }
        if (hasConnectionFailed()) {
          fail(new Error('connection reset within the response'));
          return;
        }
        clearTimeout(timer);
        resolve(
          success({
            status,
            headers: response.headers,
            body: collector.take(),
          }),
        );
      });
    });
    clientRequest.end(body);
  });
}
