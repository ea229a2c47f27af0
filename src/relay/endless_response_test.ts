import {
  createServer as createHttpServer,
  Agent,
  type ServerResponse,
} from 'node:http';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {
  callHttp,
  discardResponse,
  EndpointAgent,
  sendToEndpoint,
} from '../exchange/mod.ts';
import {Metrics} from '../observability/mod.ts';
import {SystemClock} from '../time/mod.ts';
import {bufferResponse} from './_buffer_response.ts';
import {ByteBudget} from '../bytes/mod.ts';
import {CallerWriter} from './_caller_writer.ts';
import {EventSplitter} from './_event_splitter.ts';
import {streamResponse} from './_stream_response.ts';

const CHUNK = 'x'.repeat(16 * 1024);
const HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\n';

/** Bytes after which a connection counts as read without end. */
const TOO_MANY_BYTES = 64 * 1024 * 1024;

const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

/** Endpoint that sends a start and then the same bytes until it is cut off. */
async function startEndless(start: string, repeated: string) {
  const sent = {bytes: 0, closed: false};
  const server = createServer(connection => {
    connection.on('error', () => undefined);
    connection.once('data', () => {
      connection.write(start);
      write(connection);
    });
    connection.on('close', () => (sent.closed = true));
  });
  const write = (connection: Socket): void => {
    if (connection.destroyed || sent.bytes > TOO_MANY_BYTES) return;
    sent.bytes += repeated.length;
    if (connection.write(repeated)) setImmediate(write, connection);
    else connection.once('drain', () => write(connection));
  };
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  closers.push(() => server.close());
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return {address, sent};
}

async function sendTo(address: string) {
  const agent = new EndpointAgent({
    maximumConnections: 1,
    idleTimeoutMilliseconds: 1000,
  });
  closers.push(() => agent.destroy());
  return sendToEndpoint({
    address,
    method: 'GET',
    path: '/',
    headers: ['Host', 'h'],
    body: Buffer.alloc(0),
    agent,
    connectTimeoutMilliseconds: 1000,
    responseTimeoutMilliseconds: 2000,
    signal: new AbortController().signal,
  });
}

function callerWriter(response: ServerResponse): CallerWriter {
  return new CallerWriter(
    {
      byteBudget: new ByteBudget(Infinity),
      clock: new SystemClock(),
      metrics: new Metrics(),
    },
    {
      response,
      request: {deadlineAt: Infinity},
      log: {readerTooSlow: () => undefined},
    },
  );
}

describe('an endpoint that sends bytes without end', () => {
  test.each([
    {name: 'in a header', start: 'HTTP/1.1 200 OK\r\nName: ', repeated: CHUNK},
    {name: 'that are no response', start: '', repeated: CHUNK},
    {
      name: 'as interim responses',
      start: '',
      repeated: 'HTTP/1.1 102 Processing\r\n\r\n',
    },
  ])('$name gets its connection closed', async ({start, repeated}) => {
    const {address, sent} = await startEndless(start, repeated);
    const outcome = await sendTo(address);
    expect(outcome.kind).toBe('unknown');
    await expect.poll(() => sent.closed).toBe(true);
    expect(sent.bytes).toBeLessThan(TOO_MANY_BYTES);
  });

  test('in a body that is buffered gets its connection closed', async () => {
    const {address, sent} = await startEndless(HEAD, CHUNK);
    const outcome = await sendTo(address);
    if (outcome.kind !== 'answer') throw new Error(outcome.reason);
    expect(
      await bufferResponse(outcome, new ByteBudget(Infinity).open('endpoint')),
    ).toBe('broken');
    await expect.poll(() => sent.closed).toBe(true);
    expect(sent.bytes).toBeLessThan(TOO_MANY_BYTES);
  });

  // Guards against endpoints that count as broken because this host lacks memory.
  test('in a body beyond the budget of this host is told from a broken one', async () => {
    const {address, sent} = await startEndless(HEAD, CHUNK);
    const outcome = await sendTo(address);
    if (outcome.kind !== 'answer') throw new Error(outcome.reason);
    const reservation = new ByteBudget(CHUNK.length * 20).open('endpoint');
    expect(await bufferResponse(outcome, reservation)).toBe('no_memory');
    await expect.poll(() => sent.closed).toBe(true);
  });

  test('in a body that is discarded gets its connection closed', async () => {
    const {address, sent} = await startEndless(HEAD, CHUNK);
    const outcome = await sendTo(address);
    if (outcome.kind !== 'answer') throw new Error(outcome.reason);
    discardResponse(outcome);
    await expect.poll(() => sent.closed).toBe(true);
    expect(sent.bytes).toBeLessThan(TOO_MANY_BYTES);
  });

  test.each([{forwardsWholeEvents: true}, {forwardsWholeEvents: false}])(
    'in one event (whole events: $forwardsWholeEvents) gets its connection closed',
    async ({forwardsWholeEvents}) => {
      const {address, sent} = await startEndless(HEAD, CHUNK);
      const outcome = await sendTo(address);
      if (outcome.kind !== 'answer') throw new Error(outcome.reason);
      const ended = await new Promise<string>(resolve => {
        const caller = createHttpServer((_request, response) => {
          void streamResponse(outcome, {
            writer: callerWriter(response),
            splitter: new EventSplitter(),
            writeHead: () => undefined,
            onFirstEvent: () => undefined,
            forwardsWholeEvents,
            mayForward: undefined,
            callerLeft: new AbortController().signal,
          }).then(resolve);
        });
        caller.listen(0, '127.0.0.1', () => {
          const {port} = caller.address() as AddressInfo;
          void fetch(`http://127.0.0.1:${port}`)
            .then(response => response.text())
            .catch(() => undefined);
        });
        closers.push(() => {
          caller.closeAllConnections();
          caller.close();
        });
      });
      expect(ended).toBe('broken');
      await expect.poll(() => sent.closed).toBe(true);
      expect(sent.bytes).toBeLessThan(TOO_MANY_BYTES);
    },
  );

  test('in the response to a control call gets its connection closed', async () => {
    const {address, sent} = await startEndless(HEAD, CHUNK);
    const agent = new Agent();
    closers.push(() => agent.destroy());
    const outcome = await callHttp({
      address,
      method: 'GET',
      path: '/report',
      agent,
      timeoutMilliseconds: 10_000,
    });
    expect(outcome.ok).toBe(false);
    await expect.poll(() => sent.closed).toBe(true);
    expect(sent.bytes).toBeLessThan(TOO_MANY_BYTES);
  });
});
