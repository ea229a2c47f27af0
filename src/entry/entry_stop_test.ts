import {connect, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {createEventLogger} from '../observability/mod.ts';
import {createPlatform} from '../platform/mod.ts';
import {freePorts} from '../testing/free_ports.ts';
import {
  entrySettings,
  PLATFORM_KEY,
  platformConfiguration,
} from '../testing/platform_deployment.ts';
import {PlatformEndpointStandIn} from '../testing/platform_endpoint_stand_in.ts';
import {PlatformStoreStandIn} from '../testing/platform_store_stand_in.ts';
import {SystemClock} from '../time/mod.ts';
import {EntryHost} from './mod.ts';

const POST_HEAD = 'POST /order/x HTTP/1.1\r\n';
const HEADERS =
  `Host: api.example\r\nRequest-Id: request-1\r\n` +
  `X-Api-Key: ${PLATFORM_KEY}\r\n`;

const WHOLE_REQUEST = `${POST_HEAD}${HEADERS}Content-Length: 4\r\n\r\nbody`;

/** More than the socket buffers of both sides hold. */
const LARGE_BODY_BYTES = 7 * 1024 * 1024;

let store: PlatformStoreStandIn;
let endpoint: PlatformEndpointStandIn;
let host: EntryHost;
let callerPort: number;
let lines: string[];
let sockets: Socket[];

beforeEach(async () => {
  lines = [];
  sockets = [];
  store = await PlatformStoreStandIn.start();
  store.put('op', 'config', platformConfiguration());
  endpoint = await PlatformEndpointStandIn.start(
    {id: 'plain-1', service: 'plain'},
    store,
  );
  const [callers, readiness, directory, peers] = await freePorts(4);
  callerPort = callers!;
  host = await EntryHost.start({
    settings: entrySettings('host-1', store.address, {
      callers: callers!,
      readiness: readiness!,
      directory: directory!,
      peers: peers!,
    }),
    clock: new SystemClock(),
    logger: createEventLogger({write: line => lines.push(line)}),
    platform: createPlatform({
      address: store.address,
      timeoutMilliseconds: 500,
    }),
  });
  for (const name of ['endpointFound', 'configurationApplied']) {
    await expect.poll(() => logged(name)).toBe(1);
  }
});

afterEach(async () => {
  for (const socket of sockets) socket.destroy();
  await host.drain();
  await endpoint.stop();
  await store.stop();
});

describe('EntryHost.drain', () => {
  // Guards against a second SIGTERM that ends the process while requests are open.
  test('a second call waits for the end of the drain', async () => {
    endpoint.trouble = 'hangs';
    const caller = openConnection();
    caller.socket.write(WHOLE_REQUEST);
    await expect.poll(() => endpoint.ran.length).toBe(1);
    void host.drain();
    await host.drain();
    expect(logged('hostStopped')).toBe(1);
  });

  const uploads = [
    {name: 'pauses', chunk: ''},
    {name: 'continues', chunk: '0123456789'},
  ];
  // Guards against uploads that get neither an answer nor a refusal when the host
  // stops before their body is complete.
  test.each(uploads)('refuses an upload that $name', async ({chunk}) => {
    const caller = openConnection();
    caller.socket.write(
      `${POST_HEAD}${HEADERS}Content-Length: 90000\r\n\r\nhalf`,
    );
    const timer = setInterval(() => {
      if (chunk !== '' && caller.socket.writable) caller.socket.write(chunk);
    }, 10);
    await expect.poll(() => caller.socket.bytesWritten).toBeGreaterThan(100);
    await new Promise(resolve => setTimeout(resolve, 100));
    await host.drain();
    await expect.poll(() => caller.isClosed).toBe(true);
    clearInterval(timer);
    expect(caller.received).toMatch(/^HTTP\/1.1 503 /);
    expect(caller.received).toContain('Connection: close');
    expect(caller.received).toContain('Retry-After');
    expect(endpoint.ran.length).toBe(0);
  });

  // Guards against responses that are cut because they have ended but are not yet
  // written out to a slow reader when the host stops.
  test('writes out a response to a slow reader', async () => {
    endpoint.answerBody = 'x'.repeat(LARGE_BODY_BYTES);
    const caller = openConnection();
    caller.socket.pause();
    caller.socket.write(WHOLE_REQUEST);
    await expect.poll(() => logged('requestServed')).toBe(1);
    const drained = host.drain();
    await expect.poll(isRefusingConnections, {timeout: 5000}).toBe(true);
    caller.socket.resume();
    await drained;
    await expect.poll(() => caller.isClosed).toBe(true);
    const [head = ''] = caller.received.split('\r\n\r\n', 1);
    expect(caller.received.length - head.length - 4).toBe(LARGE_BODY_BYTES);
  });
});

function logged(name: string): number {
  return lines.filter(line => line.includes(`"name":"${name}"`)).length;
}

/** Whether the host has stopped accepting connections. */
function isRefusingConnections(): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect(callerPort, '127.0.0.1');
    socket.once('error', () => resolve(true));
    socket.once('connect', () => {
      socket.destroy();
      resolve(false);
    });
  });
}

/** Opens a connection to the host and collects what it receives. */
function openConnection() {
  const socket = connect(callerPort, '127.0.0.1');
  const caller = {socket, received: '', isClosed: false};
  sockets.push(socket);
  socket.on('data', (chunk: Buffer) => (caller.received += chunk.toString()));
  socket.on('error', () => undefined);
  socket.once('close', () => (caller.isClosed = true));
  return caller;
}
