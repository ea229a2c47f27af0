import {request as httpRequest} from 'node:http';
import {PLATFORM_KEY} from './platform_deployment.ts';

/** An answer to {@link send}. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly body: string;
  /** Whether the connection ended before the answer did. */
  readonly isBroken: boolean;
}

/** A request for {@link send}. */
export interface CallerRequest {
  path: string;
  method?: string;
  headers?: Record<string, string>;
  body?: string;
}

/** Sends a request to a host as a caller of the users' platform does. */
export function send(port: number, sent: CallerRequest): Promise<CallerAnswer> {
  return new Promise((resolve, reject) => {
    const request = httpRequest({
      host: '127.0.0.1',
      port,
      method: sent.method ?? 'GET',
      path: sent.path,
      headers: {
        Host: 'api.example',
        'Request-Id': 'request-1',
        'X-Api-Key': PLATFORM_KEY,
        ...sent.headers,
      },
    });
    let hasFailed = false;
    let fail: (error: Error) => void = reject;
    request.on('error', error => {
      hasFailed = true;
      fail(error);
    });
    request.on('response', response => {
      let body = '';
      const finish = (isBroken: boolean) =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body,
          isBroken,
        });
      response.on('data', (chunk: Buffer) => (body += chunk.toString()));
      fail = () => finish(true);
      // Node.js reports the end of a body without a length before a reset.
      response.on('end', () => setImmediate(() => finish(hasFailed)));
      response.on('error', () => finish(true));
    });
    request.end(sent.body);
  });
}
