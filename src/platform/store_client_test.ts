import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {StoreClient} from './store_client.ts';

let server: Server | undefined;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

interface Page {
  keys: string[];
  version: number;
}

interface Case {
  name: string;
  pages: Page[];
  /** Version from which changes must be followed. */
  version: number;
}

// With more rows than fit on one page, a change of a row of the first page that
// happened before the second page was read was never seen.
const CASES: Case[] = [
  {name: 'one page', pages: [{keys: ['a', 'b'], version: 7}], version: 7},
  {
    name: 'two pages with a change between them',
    pages: [
      {keys: ['a', 'b'], version: 7},
      {keys: ['c'], version: 9},
    ],
    version: 7,
  },
];

test.each(CASES)(
  'a table of $name is followed from its first page',
  async ({pages, version}) => {
    let next = 0;
    server = createServer((_request, response) => {
      const page = pages[next++];
      response.end(
        JSON.stringify({
          rows: page?.keys.map(key => ({key, value: '', schema_version: 1})),
          has_more: next < pages.length,
          schema_version: page?.version,
          now_ms: 5,
        }),
      );
    });
    await new Promise<void>(resolve =>
      server?.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = server.address() as AddressInfo;
    const client = new StoreClient({
      address: `127.0.0.1:${port}`,
      timeoutMilliseconds: 2000,
    });
    const read = await client.readTable('servers');
    expect(read.ok && read.value).toMatchObject({
      rows: pages.flatMap(({keys}) => keys.map(key => ({key}))),
      version,
    });
  },
);
