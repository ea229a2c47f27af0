import {type AddressInfo, connect, createServer, type Server} from 'node:net';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {EntryFleet} from '../testing/entry_fleet.ts';
import {PLATFORM_KEY} from '../testing/platform_deployment.ts';

const BODY = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
const CHUNKED = /\r\ntransfer-encoding: chunked\r\n/iu;
const LENGTH = /\r\ncontent-length: (\d+)\r\n/iu;

let fleet: EntryFleet;
let server: Server;
let respond: (requestId: string) => string;

beforeEach(async () => {
  fleet = await EntryFleet.start();
  server = createServer(connection => {
    connection.on('error', () => undefined);
    connection.once('data', data => {
      const [, id = ''] = /request-id: (\S+)/iu.exec(data.toString()) ?? [];
      connection.end(respond(id));
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const row = {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    zone: 'zone-a',
    version: 'v1',
    slots: 4,
    state: 'ready',
    cold_remaining_ms: 0,
    sequence: 1,
    born: 1,
  };
  fleet.store.put('servers', 'plain-1', {...row, service: 'plain'});
  fleet.store.put('servers', 'engine-1', {
    ...row,
    service: 'engines',
    stage: 'combined',
    models: [{name: 'model-a', version: 1, adapters: []}],
    available: {in_memory: [], on_disk: []},
  });
});

afterEach(async () => {
  await fleet.stop();
  await new Promise(resolve => server.close(resolve));
});

/** Sends one request and reads up to the end of its connection. */
function exchange(port: number, head: string): Promise<string> {
  return new Promise((resolve, reject) => {
    let received = '';
    const connection = connect({port, host: '127.0.0.1'}, () =>
      connection.write(head),
    );
    connection.on('data', bytes => (received += bytes.toString('latin1')));
    connection.once('end', () => resolve(received));
    connection.once('error', reject);
  });
}

interface FramingCase {
  method: string;
  kind: 'order' | 'look' | 'draft' | 'chat';
  version: '1.0' | '1.1';
  /** Status line and headers of the endpoint, besides its own. */
  answer: string;
  body: string;
  frame: 'length' | 'chunks' | 'connection' | 'none';
}

const CASES: FramingCase[] = [
  ...(['order', 'look'] as const).flatMap(kind =>
    (['1.0', '1.1'] as const).map((version): FramingCase => ({
      method: 'POST',
      kind,
      version,
      answer: '200 OK',
      body: BODY,
      frame: 'length',
    })),
  ),
  ...(['chat', 'draft'] as const).flatMap(kind => [
    {
      method: 'POST',
      kind,
      version: '1.1' as const,
      answer: '200 OK',
      body: BODY,
      frame: 'chunks' as const,
    },
    // HTTP/1.0 has no chunks, and the length of a stream is not known.
    {
      method: 'POST',
      kind,
      version: '1.0' as const,
      answer: '200 OK',
      body: BODY,
      frame: 'connection' as const,
    },
  ]),
  {
    method: 'HEAD',
    kind: 'look',
    version: '1.1',
    answer: '200 OK\r\nContent-Length: 800',
    body: '',
    frame: 'none',
  },
  {
    method: 'HEAD',
    kind: 'look',
    version: '1.1',
    answer: '200 OK',
    body: '',
    frame: 'none',
  },
  ...['204 No Content', '304 Not Modified'].map((answer): FramingCase => ({
    method: 'GET',
    kind: 'look',
    version: '1.1',
    answer,
    body: '',
    frame: 'none',
  })),
];

describe('the response to a caller', () => {
  // Guards against ORDER and MIXED: the body ended with its connection, so that the
  // part of it that a killed host had sent looked complete.
  test.each(CASES)(
    '$method $kind HTTP/$version, $answer: framed by $frame',
    async ({method, kind, version, answer, body, frame}) => {
      respond = id =>
        `HTTP/1.1 ${answer}\r\nRequest-Id: ${id}\r\nServer-Signature: s\r\n` +
        `Connection: close\r\n\r\n${body}`;
      const {callerPort} = await fleet.startHost('host-1');
      await fleet.waitForLines('host-1', 'endpointFound', 2);
      const model =
        kind === 'chat' || kind === 'draft' ? 'Model: model-a\r\n' : '';
      const received = await exchange(
        callerPort,
        `${method} /${kind}/x HTTP/${version}\r\nHost: api.example\r\n${model}` +
          `Request-Id: r1\r\nX-Api-Key: ${PLATFORM_KEY}\r\nConnection: close\r\n\r\n`,
      );
      const end = received.indexOf('\r\n\r\n') + 4;
      const head = received.slice(0, end);
      const rest = received.slice(end);
      expect(head).toMatch(new RegExp(`^HTTP/1.1 ${answer.slice(0, 3)}`, 'u'));
      const length = LENGTH.exec(head)?.[1];
      switch (frame) {
        case 'length':
          expect(head).not.toMatch(CHUNKED);
          expect(length).toBe(String(body.length));
          expect(rest).toBe(body);
          break;
        case 'chunks':
          expect(head).toMatch(CHUNKED);
          expect(rest.endsWith('\r\n0\r\n\r\n')).toBe(true);
          expect(rest.replaceAll(/[0-9a-f]+\r\n|\r\n/gu, '')).toBe(body);
          break;
        case 'connection':
          expect(head).not.toMatch(CHUNKED);
          expect(length).toBeUndefined();
          expect(rest).toBe(body);
          break;
        case 'none':
          expect(head).not.toMatch(CHUNKED);
          expect(length).toBe(LENGTH.exec(`\r\n${answer}\r\n`)?.[1]);
          expect(rest).toBe('');
          break;
      }
    },
  );
});
