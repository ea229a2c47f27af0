import {createServer as createHttpServer, type ServerResponse} from 'node:http';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {describe, expect, test} from 'vitest';
import {EndpointAgent, type SendOptions, sendToEndpoint} from './mod.ts';

/** Exceeds the socket buffers of a loopback connection. */
const LONG_BODY_BYTES = 16_000_000;
const RESPONSE =
  'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: r\r\n\r\nok';

describe('sendToEndpoint', () => {
  // Node.js throws at once for these. The caller of the request got no response.
  test.each([
    {name: 'a port out of range', address: '127.0.0.1:99999', path: '/'},
    {name: 'a path with a space', address: '127.0.0.1:80', path: '/a b'},
  ])('a request to $name is not sent', async ({address, path}) => {
    const outcome = await sendToEndpoint({
      address,
      method: 'GET',
      path,
      headers: ['Host', 'h'],
      body: Buffer.alloc(0),
      agent: new EndpointAgent({
        maximumConnections: 1,
        idleTimeoutMilliseconds: 1000,
      }),
      connectTimeoutMilliseconds: 1000,
      responseTimeoutMilliseconds: 1000,
      signal: new AbortController().signal,
    });
    expect(outcome.kind).toBe('unsent');
  });

  // Guards against bodies that stay in memory, and connections that stay in use, for as
  // long as an endpoint likes.
  test.each([
    {response: RESPONSE, kind: 'answer'},
    {response: '', kind: 'unknown'},
  ])(
    'an endpoint that does not read a body gets its connection closed ($kind)',
    async ({response, kind}) => {
      let receivedBytes = 0;
      const accepted: Socket[] = [];
      const server = createServer(connection => {
        accepted.push(connection);
        connection.on('error', () => undefined);
        connection.on('data', chunk => (receivedBytes += chunk.length));
        connection.once('data', () => {
          connection.write(response);
          connection.pause();
        });
      });
      await new Promise<void>(resolve =>
        server.listen(0, '127.0.0.1', resolve),
      );
      const outcome = await sendToEndpoint({
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        method: 'POST',
        path: '/',
        headers: ['Host', 'h', 'Content-Length', String(LONG_BODY_BYTES)],
        body: Buffer.alloc(LONG_BODY_BYTES),
        agent: new EndpointAgent({
          maximumConnections: 1,
          idleTimeoutMilliseconds: 1000,
        }),
        connectTimeoutMilliseconds: 1000,
        responseTimeoutMilliseconds: 500,
        signal: new AbortController().signal,
      });
      expect(outcome.kind).toBe(kind);
      if (outcome.kind === 'answer') outcome.message.resume();
      await new Promise(resolve => setTimeout(resolve, 1000));
      // A connection that is not read does not notice its end.
      for (const connection of accepted) connection.resume();
      await expect.poll(() => accepted.every(({closed}) => closed)).toBe(true);
      expect(receivedBytes).toBeLessThan(LONG_BODY_BYTES);
      server.close();
    },
  );

  // Guards against MIXED violations: an endpoint that responds before it has
  // read the whole body must not get the next request in place of the rest.
  test('a response before the end of a long body is followed by no bytes of the next request', async () => {
    const received: Buffer[][] = [];
    const paused: Socket[] = [];
    const server = createServer(connection => {
      const chunks: Buffer[] = [];
      received.push(chunks);
      connection.on('error', () => undefined);
      connection.on('data', chunk => {
        chunks.push(chunk);
        if (chunks.length > 1) return;
        connection.write(RESPONSE);
        connection.pause();
        paused.push(connection);
      });
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const agent = new EndpointAgent({
      maximumConnections: 4,
      idleTimeoutMilliseconds: 1000,
    });
    const send = async (mark: string, bytes: number) => {
      const outcome = await sendToEndpoint({
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        method: 'POST',
        path: `/${mark}`,
        headers: ['Host', 'h', 'Content-Length', String(bytes)],
        body: Buffer.alloc(bytes, mark),
        agent,
        connectTimeoutMilliseconds: 1000,
        responseTimeoutMilliseconds: 1000,
        signal: new AbortController().signal,
      });
      if (outcome.kind !== 'answer') throw new Error(outcome.reason);
      for await (const chunk of outcome.message)
        expect(String(chunk)).toBe('ok');
    };
    await send('a', LONG_BODY_BYTES);
    await send('b', 10);
    for (const connection of paused) connection.resume();
    await new Promise(resolve => setTimeout(resolve, 200));
    for (const chunks of received) {
      const text = Buffer.concat(chunks).toString('latin1');
      const head = text.indexOf('\r\n\r\n') + 4;
      const [, mark = ''] = /^POST \/(\w)/u.exec(text) ?? [];
      const bodyBytes = mark === 'a' ? LONG_BODY_BYTES : 10;
      const body = text.slice(head, head + bodyBytes);
      expect(body.replaceAll(mark, '')).toBe('');
      expect(text.slice(head + bodyBytes)).toMatch(/^(?:POST |$)/u);
    }
    agent.destroy();
    for (const connection of paused) connection.destroy();
    await new Promise(resolve => server.close(resolve));
  });

  // Guards against LOST: a request that waited for a free connection outlasted its
  // time-outs and its caller until another request of the endpoint ended.
  test.each([
    {name: 'its time-out', connectTimeoutMilliseconds: 20, abortsAfter: 60_000},
    {name: 'its abort', connectTimeoutMilliseconds: 60_000, abortsAfter: 20},
  ])(
    'a request that waits for a free connection ends at $name',
    async ({connectTimeoutMilliseconds, abortsAfter}) => {
      const paths: string[] = [];
      const held: ServerResponse[] = [];
      const server = createHttpServer((request, response) => {
        paths.push(request.url ?? '');
        if (request.url === '/holds') held.push(response);
        else response.end('ok');
      });
      await new Promise<void>(resolve =>
        server.listen(0, '127.0.0.1', resolve),
      );
      const agent = new EndpointAgent({
        maximumConnections: 1,
        idleTimeoutMilliseconds: 1000,
      });
      const send = (path: string, limits: Partial<SendOptions> = {}) =>
        sendToEndpoint({
          address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
          method: 'GET',
          path,
          headers: ['Host', 'h'],
          body: Buffer.alloc(0),
          agent,
          connectTimeoutMilliseconds: 60_000,
          responseTimeoutMilliseconds: 60_000,
          signal: new AbortController().signal,
          ...limits,
        });
      const holding = send('/holds');
      await expect.poll(() => held.length).toBe(1);
      const waiting = await send('/waits', {
        connectTimeoutMilliseconds,
        signal: AbortSignal.timeout(abortsAfter),
      });
      expect(waiting).toMatchObject({kind: 'unsent', wasQueued: true});
      for (const response of held) response.end('ok');
      for (const sent of [await holding, await send('/next')]) {
        if (sent.kind !== 'answer') throw new Error(sent.reason);
        for await (const chunk of sent.message)
          expect(String(chunk)).toBe('ok');
      }
      expect(paths).toEqual(['/holds', '/next']);
      agent.destroy();
      server.closeAllConnections();
      await new Promise(resolve => server.close(resolve));
    },
  );
});
