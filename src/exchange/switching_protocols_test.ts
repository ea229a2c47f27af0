import {type AddressInfo, createServer, type Server} from 'node:net';
import {afterAll, beforeAll, describe, expect, test} from 'vitest';
import {exchangeOver} from '../testing/exchange_paths.ts';

const ANSWER =
  'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n' +
  'Upgrade: other\r\n\r\nbytes';

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

/** What becomes of the request; it may have run in each case. */
const CASES = [
  {path: 'relay', outcome: 'unknown'},
  {path: 'controlCall', outcome: 'unknown'},
  {path: 'daemon', outcome: 'broken'},
] as const;

// Guards against CONFIG: a request whose endpoint switched protocols was never answered.
describe('an endpoint that switches protocols', () => {
  test.each(CASES)(
    '$path fails at once, and may have run',
    async ({path, outcome}) => {
      const closedBefore = closedConnections;
      expect(await exchangeOver(path, port)).toBe(outcome);
      await expect.poll(() => closedConnections).toBe(closedBefore + 1);
    },
  );
});
