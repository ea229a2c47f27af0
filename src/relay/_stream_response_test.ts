import {createServer as createHttpServer, type ServerResponse} from 'node:http';
import {type AddressInfo, createServer, type Server} from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {ByteBudget} from '../bytes/mod.ts';
import {EndpointAgent, sendToEndpoint} from '../exchange/mod.ts';
import {Metrics} from '../observability/mod.ts';
import {send} from '../testing/platform_caller.ts';
import {SystemClock} from '../time/mod.ts';
import {CallerWriter} from './_caller_writer.ts';
import {EventSplitter} from './_event_splitter.ts';
import {type CallerStream, streamResponse} from './_stream_response.ts';

const WHOLE = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
const CUT = 'id: 1\ndata: a\n\nid: 2\nda';

const servers: Server[] = [];
const agent = new EndpointAgent({
  maximumConnections: 4,
  idleTimeoutMilliseconds: 1000,
});

afterEach(async () => {
  agent.destroy();
  await Promise.all(
    servers
      .splice(0)
      .map(server => new Promise(resolve => server.close(resolve))),
  );
});

/** Responds to one request and closes the connection. */
async function startEndpoint(response: string): Promise<string> {
  const server = createServer(connection => {
    connection.once('data', () => connection.end(response));
  });
  servers.push(server);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function responseWith(body: string, isFramed: boolean): string {
  const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n';
  return isFramed
    ? `${head}Transfer-Encoding: chunked\r\n\r\n` +
        `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`
    : `${head}\r\n${body}`;
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

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Forwards the response of an endpoint to a caller. */
async function play(endpointResponse: string, stream: Partial<CallerStream>) {
  const sent = await sendToEndpoint({
    address: await startEndpoint(endpointResponse),
    method: 'GET',
    path: '/',
    headers: ['Host', 'h'],
    body: Buffer.alloc(0),
    agent,
    connectTimeoutMilliseconds: 1000,
    responseTimeoutMilliseconds: 1000,
    signal: new AbortController().signal,
  });
  if (sent.kind !== 'answer') throw new Error(sent.reason);
  return new Promise<{outcome: string; body: string}>((resolve, reject) => {
    let outcome = '';
    const host = createHttpServer((_request, response) => {
      void streamResponse(sent, {
        writer: callerWriter(response),
        splitter: new EventSplitter(),
        writeHead: () => undefined,
        onFirstEvent: () => undefined,
        forwardsWholeEvents: true,
        mayForward: undefined,
        callerLeft: new AbortController().signal,
        ...stream,
      }).then(result => {
        outcome = result;
        response.end();
      });
    });
    servers.push(host);
    host.listen(0, '127.0.0.1', () => {
      const {port} = host.address() as AddressInfo;
      send(port, {path: '/'}).then(
        ({body}) => resolve({outcome, body}),
        reject,
      );
    });
  });
}

describe('streamResponse', () => {
  const cases = [true, false].flatMap(isFramed =>
    [true, false].flatMap(forwardsWholeEvents => [
      {
        end: 'after an event',
        isFramed,
        forwardsWholeEvents,
        body: WHOLE,
        outcome: 'complete',
      },
      {
        end: 'inside an event',
        isFramed,
        forwardsWholeEvents,
        body: CUT,
        outcome: 'broken',
      },
    ]),
  );
  // Guards against ORDER and MIXED violations: an endpoint crashed within an event
  // of a stream without a length, and the stream was passed on as complete.
  test.each(cases)(
    'a stream that ends $end is $outcome (framed $isFramed, whole events only $forwardsWholeEvents)',
    async ({isFramed, forwardsWholeEvents, body, outcome}) => {
      const played = await play(responseWith(body, isFramed), {
        forwardsWholeEvents,
      });
      expect(played.outcome).toBe(outcome);
    },
  );

  // Guards against events that are lost, or never end, while they are held back.
  test.each([
    {
      name: 'for a moment',
      body: WHOLE,
      mayForward: () => pause(50).then(() => true),
      played: {outcome: 'complete', body: WHOLE},
    },
    {
      name: 'for a moment, and cut',
      body: CUT,
      mayForward: () => pause(50).then(() => true),
      played: {outcome: 'broken', body: 'id: 1\ndata: a\n\n'},
    },
    {
      name: 'until it is refused',
      body: CUT,
      mayForward: () => pause(50).then(() => false),
      played: {outcome: 'withheld', body: ''},
    },
    {
      name: 'until its caller leaves',
      body: CUT,
      mayForward: () => new Promise<boolean>(() => undefined),
      callerLeft: AbortSignal.abort(),
      played: {outcome: 'broken', body: ''},
    },
  ])(
    'a stream that is held back $name ends $played.outcome',
    async ({body, mayForward, callerLeft, played}) => {
      expect(
        await play(responseWith(body, false), {
          mayForward: mayForward(),
          ...(callerLeft === undefined ? {} : {callerLeft}),
        }),
      ).toEqual(played);
    },
  );
});
