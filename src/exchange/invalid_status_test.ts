import {Agent, get} from 'node:http';
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from 'node:net';
import {afterAll, beforeAll, describe, expect, test} from 'vitest';
import {HttpServiceClient} from '../endpoints/mod.ts';
import {HttpObjectStore} from '../stores/mod.ts';
import {callHttp, EndpointAgent, sendToEndpoint} from './mod.ts';

const TIMEOUT_MILLISECONDS = 2000;

/** Status lines that Node.js passes on although there is no such status. */
const STATUSES = ['000', '099', '600', '999'] as const;

let status: string = STATUSES[0];
let server: Server;
const connections = new Set<Socket>();
let closedConnections = 0;
let port: number;

beforeAll(async () => {
  server = createServer(connection => {
    connections.add(connection);
    connection.on('error', () => undefined);
    connection.on('close', () => closedConnections++);
    connection.on('data', () =>
      connection.write(
        `HTTP/1.1 ${status} Trouble\r\nContent-Length: 2\r\n\r\nok`,
      ),
    );
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  port = (server.address() as AddressInfo).port;
});

afterAll(() => {
  for (const connection of connections) connection.destroy();
  return new Promise(resolve => server.close(resolve));
});

/** Each resolves to whether it fails, and the request may have arrived. */
const paths = {
  relay: async () => {
    const sent = await sendToEndpoint({
      address: `127.0.0.1:${port}`,
      method: 'GET',
      path: '/',
      headers: ['Host', 'h'],
      body: Buffer.alloc(0),
      agent: new EndpointAgent({
        maximumConnections: 1,
        idleTimeoutMilliseconds: 1000,
      }),
      connectTimeoutMilliseconds: TIMEOUT_MILLISECONDS,
      responseTimeoutMilliseconds: TIMEOUT_MILLISECONDS,
      signal: new AbortController().signal,
    });
    return sent.kind === 'unknown' && !sent.timedOut;
  },
  controlCall: async () => {
    const result = await callHttp({
      address: `127.0.0.1:${port}`,
      method: 'GET',
      path: '/',
      agent: new Agent(),
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    });
    return !result.ok && result.error.mayHaveArrived;
  },
  daemon: async () => {
    const client = new HttpServiceClient({
      name: 'service',
      address: `http://127.0.0.1:${port}`,
      progressMilliseconds: TIMEOUT_MILLISECONDS,
    });
    const result = await client.call(
      {
        requestId: 'r',
        method: 'GET',
        path: '/',
        headers: {},
        body: Buffer.alloc(0),
        repeatable: false,
      },
      new AbortController().signal,
    );
    client.close();
    return !result.ok && result.error.kind === 'invalid_answer';
  },
  objectStore: async () => {
    const store = new HttpObjectStore({address: `http://127.0.0.1:${port}`});
    return !(await store.get('object')).ok;
  },
};

const CASES = STATUSES.flatMap(line =>
  (['relay', 'controlCall', 'daemon'] as const).map(path => ({line, path})),
);

describe('a status line that is none', () => {
  // Guards against MIXED: an endpoint in trouble answered with status 000, and its caller
  // got that as an answer, or a connection that was cut without one.
  test.each(CASES)('"$line" is no answer to $path', async ({line, path}) => {
    status = line;
    const closedBefore = closedConnections;
    expect(await paths[path]()).toBe(true);
    await expect.poll(() => closedConnections).toBe(closedBefore + 1);
  });

  // What Node.js does with such a line, which the other cases rest on.
  test('"000" is passed on by Node.js', async () => {
    status = '000';
    const seen = await new Promise(resolve => {
      get({host: '127.0.0.1', port, agent: false}, response => {
        response.destroy();
        resolve(response.statusCode);
      });
    });
    expect(seen).toBe(0);
  });

  test.each(STATUSES)('"%s" is no answer to the object store', async line => {
    status = line;
    expect(await paths.objectStore()).toBe(true);
  });
});
