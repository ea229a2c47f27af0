import {type Agent, request} from 'node:http';

/** What a client has got; status 0 if the connection ended without an answer. */
export interface ClientAnswer {
  readonly status: number;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly body: string;
  /** Whether the connection ended before the answer did. */
  readonly isBroken: boolean;
}

/** A request of a client. */
export interface ClientRequest {
  /** Address of the host, with its port. */
  readonly to: string;
  readonly path: string;
  readonly id: string;
  readonly key: string;
  readonly method?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly deadlineMilliseconds: number;
  readonly agent?: Agent;
  /** Called with the body that has arrived so far. */
  readonly onData?: (body: string) => void;
}

/** Sends a request as the pages say; leaves at the deadline. */
export function sendRequest(sent: ClientRequest): Promise<ClientAnswer> {
  const [host = '', port = ''] = sent.to.split(':');
  const body = sent.body ?? '';
  return new Promise(resolve => {
    let status = 0;
    let headers: NodeJS.Dict<string | string[]> = {};
    let received = '';
    let isDone = false;
    const finish = (isBroken: boolean) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      resolve({status, headers, body: received, isBroken});
    };
    const outgoing = request(
      {
        host,
        port: Number(port),
        method: sent.method ?? 'POST',
        path: sent.path,
        ...(sent.agent === undefined ? {agent: false} : {agent: sent.agent}),
        headers: {
          Host: 'api.example',
          'Request-Id': sent.id,
          'X-Api-Key': sent.key,
          'Deadline-Ms': String(sent.deadlineMilliseconds),
          'Content-Length': String(Buffer.byteLength(body)),
          ...sent.headers,
        },
      },
      response => {
        status = response.statusCode ?? 0;
        headers = response.headers;
        response.on('data', (bytes: Buffer) => {
          received += bytes.toString();
          sent.onData?.(received);
        });
        response.on('end', () => finish(!response.complete));
        response.on('error', () => finish(true));
        response.on('close', () => finish(!response.complete));
      },
    );
    const timer = setTimeout(
      () => outgoing.destroy(),
      sent.deadlineMilliseconds,
    );
    outgoing.on('error', () => finish(true));
    outgoing.end(body);
  });
}
