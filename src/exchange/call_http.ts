import {type Agent, request} from 'node:http';
import {
  failure,
  isNotConnectedCode,
  type Result,
  success,
} from '../errors/mod.ts';

/** Options of {@link callHttp}. */
export interface CallHttpOptions {
  /** IP number and port. */
  address: string;
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  /** Sent as JSON. */
  body?: unknown;
  headers?: Readonly<Record<string, string>>;
  agent: Agent;
  /** Milliseconds for the whole exchange. */
  timeoutMilliseconds: number;
}

/** A whole answer to a control call. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

/** Why a control call has no answer. */
export interface HttpCallError {
  readonly reason: string;
  /** True when the other end may have received the call. */
  readonly mayHaveArrived: boolean;
}

/**
 * Makes one control call without retries. Request traffic does not use it.
 * `node:http` serves here in place of `got`: loading `got` costs a restarted
 * host start-up time, and it adds retries and redirects to switch off.
 */
export function callHttp(
  options: CallHttpOptions,
): Promise<Result<HttpResponse, HttpCallError>> {
  const [host, port] = options.address.split(':');
  const body =
    options.body === undefined ? undefined : JSON.stringify(options.body);
  return new Promise(resolve => {
    let connected = false;
    const call = request({
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
    const timer = setTimeout(() => {
      // A reset also discards bytes that a cut link still holds back.
      if (connected) call.socket?.resetAndDestroy();
      call.destroy(new Error('timed out'));
    }, options.timeoutMilliseconds);
    const fail = (error: Error & {code?: string}) => {
      clearTimeout(timer);
      const refused = isNotConnectedCode(error.code ?? '');
      resolve(
        failure({
          reason: `${options.method} ${options.address}: ${error.message}`,
          mayHaveArrived: connected && !refused,
        }),
      );
    };
    call.on('socket', socket => {
      if (!socket.connecting) connected = true;
      else socket.once('connect', () => (connected = true));
    });
    call.on('error', fail);
    call.on('response', response => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', fail);
      response.on('end', () => {
        clearTimeout(timer);
        resolve(
          success({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks),
          }),
        );
      });
    });
    call.end(body);
  });
}
