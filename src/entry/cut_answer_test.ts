import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from 'node:net';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {EntryFleet} from '../testing/entry_fleet.ts';
import {send} from '../testing/platform_caller.ts';

const BODY = 'the whole answer';

/** An answer as the bytes of an endpoint. */
interface Answer {
  name: string;
  bytes: (requestId: string) => string;
  /** Whether the connection has carried a whole answer before. */
  isSecond: boolean;
}

function head(requestId: string, framing: string): string {
  return (
    `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\n` +
    `Server-Signature: s\r\n${framing}\r\n\r\n`
  );
}

const withLength = (requestId: string) =>
  head(requestId, `Content-Length: ${BODY.length}`) + BODY;

const inChunks = (requestId: string) =>
  `${head(requestId, 'Transfer-Encoding: chunked')}9\r\n${BODY.slice(0, 9)}\r\n` +
  `7\r\n${BODY.slice(9)}\r\n0\r\nChecksum: 1\r\n\r\n`;

const ANSWERS: Answer[] = [
  {name: 'an answer with a length', bytes: withLength, isSecond: false},
  {
    name: 'an answer in chunks with a trailer',
    bytes: inChunks,
    isSecond: false,
  },
  {
    name: 'an answer after an interim one',
    bytes: id => `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${withLength(id)}`,
    isSecond: false,
  },
  {name: 'a second answer with a length', bytes: withLength, isSecond: true},
  {name: 'a second answer in chunks', bytes: inChunks, isSecond: true},
];

const CASES = ANSWERS.flatMap(answer =>
  (['closes', 'resets'] as const).map(ending => ({...answer, ending})),
);

/** Positions between two cuts. */
const CUT_STEP = 3;

let fleet: EntryFleet;
let server: Server;
let respond: (connection: Socket, requestId: string) => void;

beforeEach(async () => {
  fleet = await EntryFleet.start();
  server = createServer(connection => {
    connection.on('error', () => undefined);
    connection.on('data', data => {
      const [, requestId = ''] =
        /request-id: (\S+)/iu.exec(data.toString()) ?? [];
      respond(connection, requestId);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  fleet.store.put('servers', 'raw-1', {
    service: 'plain',
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    zone: 'zone-a',
    version: 'v1',
    slots: 4,
    state: 'ready',
    cold_remaining_ms: 0,
    sequence: 1,
    born: 1,
  });
});

afterEach(async () => {
  await fleet.stop();
  await new Promise(resolve => server.close(resolve));
});

describe('an endpoint that stops within its answer', () => {
  // Guards against callers that get a cut answer framed as a whole one.
  test.each(CASES)(
    '$name: $ending',
    async ({bytes, isSecond, ending}) => {
      const {callerPort} = await fleet.startHost('host-1');
      await fleet.waitForLines('host-1', 'endpointFound', 1);
      const {length} = bytes('request-000');
      let cut = length;
      respond = (connection, requestId) => {
        if (requestId.startsWith('first')) {
          connection.write(withLength(requestId));
          return;
        }
        connection.write(bytes(requestId).slice(0, cut));
        if (cut === length) return;
        if (ending === 'closes') connection.end();
        else setTimeout(() => connection.resetAndDestroy(), 2);
      };
      const call = (requestId: string) =>
        send(callerPort, {
          method: 'POST',
          path: `/order/${requestId}`,
          headers: {'Request-Id': requestId},
        });
      expect((await call('request-000')).body).toBe(BODY);
      for (cut = 1; cut < length; cut += CUT_STEP) {
        const number = String(cut).padStart(3, '0');
        if (isSecond) expect((await call(`first-${number}`)).status).toBe(200);
        const answer = await call(`request-${number}`);
        const isWhole = answer.status === 200 && !answer.isBroken;
        expect({cut, isWhole}).toEqual({cut, isWhole: false});
      }
    },
    20_000,
  );
});
