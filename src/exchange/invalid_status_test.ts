import {get} from 'node:http';
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from 'node:net';
import {afterAll, beforeAll, describe, expect, test} from 'vitest';
import {HttpObjectStore} from '../stores/mod.ts';
import {exchangeOver} from '../testing/exchange_paths.ts';

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

/** What becomes of the request; it may have run in each case. */
const PATHS = [
  {path: 'relay', outcome: 'unknown'},
  {path: 'controlCall', outcome: 'unknown'},
  {path: 'daemon', outcome: 'invalid_answer'},
] as const;

const CASES = STATUSES.flatMap(line => PATHS.map(path => ({line, ...path})));

describe('a status line that is none', () => {
  // Guards against MIXED: an endpoint in trouble answered with status 000, and its caller
  // got that as an answer, or a connection that was cut without one.
  test.each(CASES)(
    '"$line" is no answer to $path',
    async ({line, path, outcome}) => {
      status = line;
      const closedBefore = closedConnections;
      expect(await exchangeOver(path, port)).toBe(outcome);
      await expect.poll(() => closedConnections).toBe(closedBefore + 1);
    },
  );

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
    const store = new HttpObjectStore({address: `http://127.0.0.1:${port}`});
    expect((await store.get('object')).ok).toBe(false);
  });
});
