import {Agent} from 'node:http';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {HttpServiceClient} from '../endpoints/mod.ts';
import {callHttp, EndpointAgent, sendToEndpoint} from './mod.ts';

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
const TIMEOUT_MILLISECONDS = 5000;

type Ending = 'end' | 'reset' | 'late reset';

let ending: Ending;
let port: number;
let server: ReturnType<typeof createServer>;
const agent = new EndpointAgent({
  maximumConnections: 4,
  idleTimeoutMilliseconds: 1000,
});

beforeEach(async () => {
  server = createServer(connection => {
    connection.on('error', () => undefined);
    connection.once('data', () => respond(connection));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  port = (server.address() as AddressInfo).port;
});

afterEach(() => new Promise(resolve => server.close(resolve)));

/** The last bytes and the reset are there before the client reads any of them. */
function respond(connection: Socket): void {
  connection.write(`${HEAD}half of`);
  if (ending === 'end') connection.end(' the body');
  else if (ending === 'reset') connection.resetAndDestroy();
  else setTimeout(() => connection.resetAndDestroy(), 20);
}

/** Each resolves to whether it takes the body as a whole one. */
const paths = {
  relay: async () => {
    const sent = await sendToEndpoint({
      address: `127.0.0.1:${port}`,
      method: 'GET',
      path: '/',
      headers: ['Host', 'h'],
      body: Buffer.alloc(0),
      agent,
      connectTimeoutMilliseconds: TIMEOUT_MILLISECONDS,
      responseTimeoutMilliseconds: TIMEOUT_MILLISECONDS,
      signal: new AbortController().signal,
    });
    if (sent.kind !== 'answer') return false;
    sent.message.on('error', () => undefined).resume();
    await new Promise(resolve => sent.message.once('close', resolve));
    return sent.isWhole();
  },
  controlCall: async () => {
    const result = await callHttp({
      address: `127.0.0.1:${port}`,
      method: 'GET',
      path: '/',
      agent: new Agent(),
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    });
    if (!result.ok) expect(result.error.mayHaveArrived).toBe(true);
    return result.ok;
  },
  daemon: async () => {
    const client = new HttpServiceClient({
      name: 'service',
      address: `http://127.0.0.1:${port}`,
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
    if (!result.ok) return false;
    try {
      for await (const chunk of result.value.body)
        expect(chunk.length).toBeGreaterThan(0);
      return true;
    } catch {
      return false;
    } finally {
      client.close();
    }
  },
};

describe('watchConnection', () => {
  // Guards against MIXED: a body without a length whose reset arrives along with its
  // last bytes was taken for a complete one.
  test.each(
    (['relay', 'controlCall', 'daemon'] as const).flatMap(path => [
      {path, end: 'end' as const, isWhole: true},
      {path, end: 'reset' as const, isWhole: false},
      {path, end: 'late reset' as const, isWhole: false},
    ]),
  )('$path: a body with $end is whole: $isWhole', async entry => {
    ending = entry.end;
    expect(await paths[entry.path]()).toBe(entry.isWhole);
  });
});
