import {type AddressInfo, createServer, type Socket} from 'node:net';
import {describe, expect, test} from 'vitest';
import {EndpointAgent, sendToEndpoint} from './mod.ts';

/** Exceeds the socket buffers of a loopback connection. */
const LONG_BODY_BYTES = 16_000_000;
const RESPONSE =
  'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: r\r\n\r\nok';

describe('sendToEndpoint', () => {
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
});
