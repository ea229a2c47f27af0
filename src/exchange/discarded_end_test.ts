import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {
  callHttp,
  EndpointAgent,
  type EndpointResponse,
  sendToEndpoint,
} from './mod.ts';

/** Fits into the buffer of a paused response, so that the end arrives as well. */
const BODY = 'x'.repeat(10_000);

/** One byte more than a control call may have, so that the last byte is too much. */
const LONG_BODY = 'x'.repeat(4 * 1024 * 1024 + 1);

const agent = new EndpointAgent({
  maximumConnections: 4,
  idleTimeoutMilliseconds: 1000,
});
const server = createServer((_request, response) => respond(response));
let respond: (response: ServerResponse) => void;

async function listen(): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

afterEach(async () => {
  agent.destroy();
  server.closeAllConnections();
  await new Promise(resolve => server.close(resolve));
});

interface Case {
  name: string;
  isChunked: boolean;
  /** Ends the exchange while the whole response has arrived and is paused. */
  abort: (response: EndpointResponse, caller: AbortController) => void;
}

const CASES: Case[] = [true, false].flatMap(isChunked => [
  {
    name: 'its deadline',
    isChunked,
    abort: (_response, caller) => caller.abort(),
  },
  {
    name: 'the end of its request',
    isChunked,
    abort: response => response.abort(),
  },
]);

describe('a response whose rest is discarded', () => {
  // Guards against ORDER and MIXED violations: after an abort, Node.js discards what a
  // paused response has not passed on and reports its end, as if all had been read.
  test.each(CASES)(
    'at $name is not whole (chunked $isChunked)',
    async ({isChunked, abort}) => {
      respond = response => {
        if (!isChunked) response.setHeader('Content-Length', BODY.length);
        response.write(BODY.slice(0, 10));
        setTimeout(() => response.end(BODY.slice(10)), 20);
      };
      const caller = new AbortController();
      const sent = await sendToEndpoint({
        address: await listen(),
        method: 'GET',
        path: '/',
        headers: ['Host', 'h'],
        body: Buffer.alloc(0),
        agent,
        connectTimeoutMilliseconds: 1000,
        responseTimeoutMilliseconds: 1000,
        signal: caller.signal,
      });
      if (sent.kind !== 'answer') throw new Error(sent.reason);
      const {message} = sent;
      let bytes = 0;
      message.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
        message.pause();
      });
      message.on('error', () => undefined);
      const isEnded = new Promise(resolve => {
        message.once('end', () => resolve(sent.isWhole()));
        message.once('close', () => resolve(sent.isWhole()));
      });
      await expect.poll(() => message.complete).toBe(true);
      abort(sent, caller);
      expect(await isEnded).toBe(false);
      expect(bytes).toBeLessThan(BODY.length);
    },
  );

  test('of a control call that is too long is a failure', async () => {
    respond = response => response.end(LONG_BODY);
    const called = await callHttp({
      address: await listen(),
      method: 'GET',
      path: '/',
      agent,
      timeoutMilliseconds: 5000,
    });
    expect(called.ok ? called.value.body.length : called.error.reason).toMatch(
      /exceeds/u,
    );
  });
});
