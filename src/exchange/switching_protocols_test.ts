import {Agent} from 'node:http';
import {type AddressInfo, createServer, type Server} from 'node:net';
import {afterAll, beforeAll, describe, expect, test} from 'vitest';
import {HttpServiceClient} from '../endpoints/mod.ts';
import {callHttp, EndpointAgent, sendToEndpoint} from './mod.ts';

const ANSWER =
  'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n' +
  'Upgrade: other\r\n\r\nbytes';
const TIMEOUT_MILLISECONDS = 2000;

let server: Server;
let closedConnections = 0;
let port: number;

beforeAll(async () => {
  server = createServer(connection => {
    connection.on('error', () => undefined);
    connection.on('close', () => closedConnections++);
    connection.once('data', () => connection.write(ANSWER));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  port = (server.address() as AddressInfo).port;
});

afterAll(() => new Promise(resolve => server.close(resolve)));

/** Each resolves to whether the request may have arrived. */
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
    return !result.ok && result.error.kind === 'broken';
  },
};

// Guards against CONFIG: a request whose endpoint switched protocols was never answered.
describe('an endpoint that switches protocols', () => {
  test.each(['relay', 'controlCall', 'daemon'] as const)(
    '%s fails at once, and may have run',
    async path => {
      const closedBefore = closedConnections;
      expect(await paths[path]()).toBe(true);
      await expect.poll(() => closedConnections).toBe(closedBefore + 1);
    },
  );
});
