import {type AddressInfo, createServer, type Socket} from 'node:net';
import {describe, expect, test} from 'vitest';
import {EndpointAgent, sendToEndpoint} from './mod.ts';

/** Larger than what the buffers of a loopback connection take. */
const LONG_BODY_BYTES = 16_000_000;
const ANSWER =
  'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: r\r\n\r\nok';

describe('sendToEndpoint', () => {
  // Guards against MIXED: where the rest of a body is due, an endpoint must not
  // get the bytes of the next request.
  test('an answer before the end of a long body is followed by no foreign bytes', async () => {
    const received: Buffer[][] = [];
    const paused: Socket[] = [];
    const server = createServer(connection => {
      const chunks: Buffer[] = [];
      received.push(chunks);
      connection.on('error', () => undefined);
      connection.on('data', chunk => {
        chunks.push(chunk);
        if (chunks.length > 1) return;
        connection.write(ANSWER);
        connection.pause();
        paused.push(connection);
      });
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const agent = new EndpointAgent({
      maximumConnections: 4,
      idleMilliseconds: 1000,
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
      const due = mark === 'a' ? LONG_BODY_BYTES : 10;
      const body = text.slice(head, head + due);
      expect(body.replaceAll(mark, '')).toBe('');
      expect(text.slice(head + due)).toMatch(/^(?:POST |$)/u);
    }
    agent.destroy();
    for (const connection of paused) connection.destroy();
    await new Promise(resolve => server.close(resolve));
  });
});
