import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {send} from '../testing/platform_caller.ts';
import {handlePromptParts} from './prompt_part_api.ts';

const BLOCKED = {
  service: 'engines',
  part: 'd 1',
  crashes: ['e1/1', 'e2/1'],
  hasRun: false,
  blockedForMilliseconds: 60_000,
};

let server: Server;
let released: string[];

beforeEach(async () => {
  released = [];
  server = createServer((request, response) =>
    handlePromptParts(request, response, {
      report: () => [BLOCKED],
      release: (service, part) => {
        released.push(`${service} ${part}`);
        return part === BLOCKED.part;
      },
    }),
  );
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
});

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

describe('handlePromptParts', () => {
  interface Case {
    method: string;
    path: string;
    status: number;
    released?: string[];
  }
  const cases: Case[] = [
    {method: 'GET', path: '/prompt-parts', status: 200},
    {
      method: 'DELETE',
      path: '/prompt-parts/engines/d%201',
      status: 204,
      released: ['engines d 1'],
    },
    {
      method: 'DELETE',
      path: '/prompt-parts/engines/x',
      status: 404,
      released: ['engines x'],
    },
    {method: 'DELETE', path: '/prompt-parts/engines', status: 404},
    {method: 'DELETE', path: '/prompt-parts/engines/%zz', status: 404},
    {method: 'GET', path: '/prompt-parts/engines/x', status: 404},
  ];
  test.each(cases)('$method $path gets $status', async entry => {
    const {port} = server.address() as AddressInfo;
    const answer = await send(port, entry);
    expect(answer.status).toBe(entry.status);
    expect(released).toEqual(entry.released ?? []);
    if (entry.status === 200)
      expect(JSON.parse(answer.body)).toEqual({parts: [BLOCKED]});
  });
});
