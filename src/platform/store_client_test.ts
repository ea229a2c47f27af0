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
    const client = await connect(server);
    const read = await client.readTable('servers');
    expect(read.ok && read.value).toMatchObject({
      rows: pages.flatMap(({keys}) => keys.map(key => ({key}))),
      version,
    });
  },
);

// Guards against versions and epochs of an era that is not a number: it is neither
// above nor below any other, so that nothing is ever taken for restored.
test.each([
  {header: undefined, era: 0},
  {header: '0', era: 0},
  {header: '7', era: 7},
  {header: 'seven', era: undefined},
  {header: '-1', era: undefined},
  {header: '1.5', era: undefined},
  {header: '1, 2', era: undefined},
  {header: '9007199254740993', era: undefined},
])('an answer with the era $header is read as $era', async ({header, era}) => {
  server = createServer((_request, response) => {
    if (header !== undefined) response.setHeader('Store-Era', header);
    response.end('{"rows":[],"schema_version":3,"now_ms":5}');
  });
  const client = await connect(server);
  const read = await client.readTable('servers');
  expect(read.ok ? read.value.era : read.error.kind).toBe(era ?? 'malformed');
});

async function connect(listening: Server): Promise<StoreClient> {
  await new Promise<void>(resolve =>
    listening.listen(0, '127.0.0.1', () => resolve()),
  );
  const {port} = listening.address() as AddressInfo;
  return new StoreClient({
    address: `127.0.0.1:${port}`,
    timeoutMilliseconds: 2000,
  });
}
