import {createServer, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {ManualClock} from '../testing/manual_clock.ts';
import {closeGracefully, trackConnections} from './mod.ts';

const TIMEOUT_MILLISECONDS = 700;
const GET = 'GET /x HTTP/1.1\r\nHost: h\r\n\r\n';
const POST = 'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n';

/** More than the socket buffers of both sides hold. */
const LARGE_BODY = Buffer.alloc(32 * 1024 * 1024, 'x');

let clock: ManualClock;
let server: Server;
let responses: ServerResponse[];
let sockets: Socket[];
let accepted: Socket[];

beforeEach(async () => {
  clock = new ManualClock();
  responses = [];
  sockets = [];
  accepted = [];
  server = createServer((request, response) => {
    request.resume().once('end', () => responses.push(response));
  });
  server.on('connection', socket => accepted.push(socket));
  trackConnections(server);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
});

afterEach(() => {
  for (const socket of sockets) socket.destroy();
  server.close();
  server.closeAllConnections();
});

describe('closeGracefully', () => {
  interface CloseCase {
    name: string;
    /** Bytes sent before the server closes. */
    before: string;
    /** Bytes sent after the server has stopped accepting connections. */
    after: string;
    /** Whether the response ends before the server closes. */
    endsEarly: boolean;
    body: Buffer;
  }
  const small = Buffer.from('whole');
  const cases: readonly CloseCase[] = [
    {
      name: 'a request that is under way',
      before: GET,
      after: '',
      endsEarly: false,
      body: small,
    },
    {
      name: 'a request that arrives on an open connection',
      before: '',
      after: GET,
      endsEarly: false,
      body: small,
    },
    {
      name: 'a request whose head is incomplete',
      before: GET.slice(0, 10),
      after: GET.slice(10),
      endsEarly: false,
      body: small,
    },
    {
      name: 'a request whose body is incomplete',
      before: `${POST}12345`,
      after: '67890',
      endsEarly: false,
      body: small,
    },
    {
      name: 'a response that is not written out',
      before: GET,
      after: '',
      endsEarly: true,
      body: LARGE_BODY,
    },
  ];
  // Guards against requests that end without an answer because the server closes
  // their connection.
  test.each(cases)('completes $name', async entry => {
    const caller = await open();
    caller.socket.write(entry.before);
    if (entry.endsEarly) {
      await expect.poll(() => responses.length).toBe(1);
      responses.shift()!.end(entry.body);
    } else if (entry.before === GET) {
      await expect.poll(() => responses.length).toBe(1);
    } else if (entry.before !== '') {
      await expect.poll(() => accepted[0]?.bytesRead).toBe(entry.before.length);
    }
    const closed = closeGracefully(server, {
      clock,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    });
    await expect.poll(() => server.listening).toBe(false);
    caller.socket.write(entry.after);
    if (!entry.endsEarly) {
      await expect.poll(() => responses.length).toBe(1);
      responses.shift()!.end(entry.body);
    }
    caller.read();
    await expect
      .poll(() => caller.isClosed || caller.bodyBytes() === entry.body.length)
      .toBe(true);
    expect(caller.bodyBytes()).toBe(entry.body.length);
    await advanceUntil(closed);
    await expect.poll(() => caller.isClosed).toBe(true);
  });

  test('closes idle connections before the time-out', async () => {
    const caller = await open();
    caller.read();
    const startedAt = clock.monotonicMilliseconds();
    await advanceUntil(
      closeGracefully(server, {
        clock,
        timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      }),
    );
    expect(clock.monotonicMilliseconds() - startedAt).toBeLessThan(
      TIMEOUT_MILLISECONDS,
    );
    await expect.poll(() => caller.isClosed).toBe(true);
  });

  test('closes the connection after a response to a late request', async () => {
    const caller = await open();
    caller.read();
    const closed = closeGracefully(server, {
      clock,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    });
    await expect.poll(() => server.listening).toBe(false);
    caller.socket.write(GET);
    await expect.poll(() => responses.length).toBe(1);
    responses[0]!.writeHead(503, ['Retry-After', '1']).end();
    await expect.poll(() => caller.isClosed).toBe(true);
    await advanceUntil(closed);
    expect(caller.text()).toContain('Connection: close');
  });

  test('destroys at the time-out what is left, and reports it', async () => {
    const caller = await open();
    caller.read();
    caller.socket.write(GET);
    await expect.poll(() => responses.length).toBe(1);
    const reported: number[] = [];
    const startedAt = clock.monotonicMilliseconds();
    await advanceUntil(
      closeGracefully(server, {
        clock,
        timeoutMilliseconds: TIMEOUT_MILLISECONDS,
        onTimeout: connections => reported.push(connections),
      }),
    );
    expect(reported).toEqual([1]);
    expect(clock.monotonicMilliseconds() - startedAt).toBe(
      TIMEOUT_MILLISECONDS,
    );
    await expect.poll(() => caller.isClosed).toBe(true);
  });

  // Guards against a stop that waits for connections opened before tracking.
  test('rejects a server that is not tracked', async () => {
    await expect(
      closeGracefully(createServer(), {clock, timeoutMilliseconds: 0}),
    ).rejects.toThrow(TypeError);
  });
});

/** Opens a connection that is accepted but from which nothing is read yet. */
async function open() {
  const count = accepted.length;
  const {port} = server.address() as AddressInfo;
  const socket = connect(port, '127.0.0.1');
  sockets.push(socket);
  const chunks: Buffer[] = [];
  const caller = {
    socket,
    isClosed: false,
    read: () => socket.on('data', (chunk: Buffer) => chunks.push(chunk)),
    text: () => Buffer.concat(chunks).toString(),
    bodyBytes: () => {
      const bytes = Buffer.concat(chunks);
      return bytes.length - bytes.indexOf('\r\n\r\n') - 4;
    },
  };
  socket.on('error', () => undefined);
  socket.once('close', () => (caller.isClosed = true));
  await expect.poll(() => accepted.length).toBe(count + 1);
  return caller;
}

/** Advances the clock, and lets sockets be served, until a promise is settled. */
async function advanceUntil(promise: Promise<void>): Promise<void> {
  let settled = false;
  void promise.finally(() => (settled = true));
  while (!settled) {
    await clock.advanceAsync(10);
    await new Promise(resolve => setImmediate(resolve));
  }
  await promise;
}
