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
    caller.socket.write(request('POST', '/order/x', 'opaque'));
    await expect.poll(() => endpoint.ran.length).toBe(1);
    void host.drain();
    await host.drain();
    expect(logged('hostStopped')).toBe(1);
  });
});

function logged(name: string): number {
  return lines.filter(line => line.includes(`"name":"${name}"`)).length;
}

function request(method: string, path: string, body: string): string {
  return (
    `${method} ${path} HTTP/1.1\r\nHost: api.example\r\n` +
    `Request-Id: request-1\r\nX-Api-Key: ${PLATFORM_KEY}\r\n` +
    `Content-Length: ${body.length}\r\n\r\n${body}`
  );
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
