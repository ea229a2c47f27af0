import {type AddressInfo, createServer, type Socket} from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {EndpointAgent, sendToEndpoint} from './mod.ts';

const RESPONSE = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
const FOREIGN = 'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n';

const agent = new EndpointAgent({
  maximumConnections: 1,
  idleTimeoutMilliseconds: 1000,
});

afterEach(() => agent.destroy());

interface Case {
  name: string;
  /** Whether the second request is sent while the first one uses the connection. */
  isQueued: boolean;
  /** When the foreign response arrives. */
  arrives:
    'with the first response' | 'while idle' | 'after the second request';
  /** Status of the second response, and requests on its connection before. */
  second: {status: number; earlierRequests: number};
}

const CASES: Case[] = [
  {
    name: 'an idle connection',
    isQueued: false,
    arrives: 'after the second request',
    second: {status: 503, earlierRequests: 1},
  },
  {
    name: 'a connection that is handed over',
    isQueued: true,
    arrives: 'after the second request',
    second: {status: 503, earlierRequests: 1},
  },
  {
    name: 'an idle connection',
    isQueued: false,
    arrives: 'while idle',
    second: {status: 200, earlierRequests: 0},
  },
  {
    name: 'a connection that is handed over',
    isQueued: true,
    arrives: 'with the first response',
    second: {status: 200, earlierRequests: 0},
  },
];

describe('bytes that belong to no request', () => {
  // Guards against the response of another request that is believed: each response says
  // how many requests were sent on its connection before, also if it was never idle.
  test.each(CASES)(
    'on $name that arrive $arrives',
    async ({isQueued, arrives, second}) => {
      const paths: string[] = [];
      const server = createServer((connection: Socket) => {
        connection.on('error', () => undefined);
        connection.on('data', chunk => {
          const [, path = ''] = /^GET (\S+)/u.exec(String(chunk)) ?? [];
          paths.push(path);
          const isFirst = path === '/first';
          const isLate = arrives === 'after the second request';
          if (!isFirst && isLate) connection.write(FOREIGN);
          else if (isFirst && arrives === 'with the first response')
            connection.write(RESPONSE + FOREIGN);
          else connection.write(RESPONSE);
          if (isFirst && arrives === 'while idle')
            setTimeout(() => connection.write(FOREIGN), 20);
        });
      });
      await new Promise<void>(resolve =>
        server.listen(0, '127.0.0.1', resolve),
      );
      const send = async (path: string) => {
        const outcome = await sendToEndpoint({
          address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
          method: 'GET',
          path,
          headers: ['Host', 'h'],
          body: Buffer.alloc(0),
          agent,
          connectTimeoutMilliseconds: 1000,
          responseTimeoutMilliseconds: 1000,
          signal: new AbortController().signal,
        });
        if (outcome.kind !== 'answer') throw new Error(outcome.reason);
        outcome.message.resume();
        const {status, earlierRequests} = outcome;
        return {status, earlierRequests};
      };
      const first = send('/first');
      if (!isQueued) {
        await first;
        await new Promise(resolve => setTimeout(resolve, 100));
      }
      expect(await send('/second')).toEqual(second);
      expect(await first).toEqual({status: 200, earlierRequests: 0});
      expect(paths).toEqual(['/first', '/second']);
      server.close();
    },
  );
});
