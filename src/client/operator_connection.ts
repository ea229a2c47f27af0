import {got, type Got} from 'got';

/** Response of a host to an operator's request. */
export type OperatorResponse =
  | {readonly kind: 'answered'; readonly status: number; readonly body: unknown}
  | {readonly kind: 'unreachable'; readonly reason: string};

/** Options of {@link OperatorConnection}. */
export interface OperatorConnectionOptions {
  /** Operator addresses of one or more hosts, tried in order. */
  addresses: readonly string[];
  /** Sent as a bearer token; undefined for interfaces that need none. */
  token?: string;
  /** Milliseconds after which a request times out. @default 30000 */
  timeoutMilliseconds?: number;
}

const DEFAULT_TIMEOUT_MILLISECONDS = 30_000;

/** Sends requests to the operator interface of the first reachable host. */
export class OperatorConnection {
  private readonly client: Got;

  constructor(private readonly options: OperatorConnectionOptions) {
    this.client = got.extend({
      headers:
        options.token === undefined
          ? {}
          : {authorization: `Bearer ${options.token}`},
      retry: {limit: 0},
      followRedirect: false,
      throwHttpErrors: false,
      timeout: {
        request: options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS,
      },
    });
  }

  /** Sends a GET request for a path. */
  get(path: string): Promise<OperatorResponse> {
    return this.sendToFirstReachable(address =>
      this.client.get(address + path),
    );
  }

  /**
   * Posts a JSON body. A change carries its own id, so it may be resent to
   * another host.
   */
  post(path: string, body: unknown): Promise<OperatorResponse> {
    return this.sendToFirstReachable(address =>
      this.client.post(address + path, {json: body}),
    );
  }

  private async sendToFirstReachable(
    send: (address: string) => Promise<{statusCode: number; body: string}>,
  ): Promise<OperatorResponse> {
    let reason = 'No address was given';
    for (const address of this.options.addresses) {
      try {
        const {statusCode, body} = await send(address);
        const parsed = JSON.parse(body) as unknown;
        return {kind: 'answered', status: statusCode, body: parsed};
      } catch (error) {
        const detail = error instanceof Error ? error.message : String(error);
        reason = `${address}: ${detail}`;
      }
    }
    return {kind: 'unreachable', reason};
  }
}
