import {connect} from 'node:net';
import {afterAll, afterEach, beforeAll, expect, test} from 'vitest';
import {freePorts} from '../testing/free_ports.ts';
import {
  entrySettings,
  PLATFORM_KEY,
  platformConfiguration,
} from '../testing/platform_deployment.ts';
import {send} from '../testing/platform_caller.ts';
import {PlatformEndpointStandIn} from '../testing/platform_endpoint_stand_in.ts';
import {PlatformStoreStandIn} from '../testing/platform_store_stand_in.ts';
import {BuiltPrograms, ProgramProcess} from '../testing/program_process.ts';

/** `memory_mb` of the sites. */
const MEMORY_MEGABYTES = 350;

const BODY_BYTES = 4_000_000;

let programs: BuiltPrograms;
let store: PlatformStoreStandIn;
let program: ProgramProcess;
let callerPort: number;

beforeAll(async () => {
  programs = BuiltPrograms.build();
  store = await PlatformStoreStandIn.start();
  const configuration = platformConfiguration();
  configuration.limits.max_body_bytes = BODY_BYTES;
  store.put('op', 'config', configuration);
});

afterEach(() => program.kill());

afterAll(async () => {
  programs.remove();
  await store.stop();
});

async function startHost(): Promise<void> {
  const [port, readiness, directory, peers] = await freePorts(4);
  callerPort = port!;
  program = new ProgramProcess(
    programs,
    'entry',
    entrySettings('host-1', store.address, {
      callers: port!,
      readiness: readiness!,
      directory: directory!,
      peers: peers!,
    }),
  );
  await program.until(() => program.hasLogged('configurationApplied'));
}

/**
 * Sends all but the last byte of a body in chunks.
 *
 * @returns Status of a response that came before the end of the body.
 */
function upload(key: string, chunkBytes: number): Promise<string> {
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  const count = Math.floor((BODY_BYTES - 1) / chunkBytes);
  return new Promise(resolve => {
    let received = '';
    const connection = connect(callerPort, '127.0.0.1', () => {
      connection.write(
        'POST /order/x HTTP/1.1\r\nHost: api.example\r\nRequest-Id: r\r\n' +
          `X-Api-Key: ${key}\r\nTransfer-Encoding: chunked\r\n\r\n`,
      );
      connection.write(chunk.repeat(count), () =>
        // The host reads what is in the buffers of the connection.
        setTimeout(() => finish(), 1000),
      );
    });
    const finish = () => {
      resolve(received.slice(9, 12));
      connection.destroy();
    };
    connection.on('data', bytes => (received += bytes.toString()));
    connection.on('error', finish);
    connection.on('close', finish);
  });
}

// Guards against a process that ends at its heap limit, or is ended for its memory, by
// callers that send bodies in small pieces or many at a time (Fault).
test.each([
  {callers: 10, chunkBytes: 55, key: PLATFORM_KEY, status: ''},
  {callers: 10, chunkBytes: 55, key: 'unknown', status: '401'},
  {callers: 4, chunkBytes: 7, key: PLATFORM_KEY, status: ''},
  {callers: 100, chunkBytes: 16_000, key: 'unknown', status: '401'},
  {callers: 100, chunkBytes: 16_000, key: PLATFORM_KEY, status: '503'},
])(
  '$callers bodies in chunks of $chunkBytes bytes with the key $key',
  async ({callers, chunkBytes, key, status}) => {
    await startHost();
    let largest = 0;
    const timer = setInterval(() => {
      largest = Math.max(largest, program.residentMegabytes);
    }, 20);
    const statuses = await Promise.all(
      Array.from({length: callers}, () => upload(key, chunkBytes)),
    );
    clearInterval(timer);
    console.info(`largest memory: ${Math.round(largest)} MB`);
    expect(program.ended).toBeUndefined();
    expect(largest).toBeLessThan(MEMORY_MEGABYTES);
    expect(new Set(statuses)).toContain(status);
  },
);

// Guards against a host that refuses requests for ever, since the bytes of callers that
// have left still count.
test('uploads that are broken off give their bytes back', async () => {
  const endpoint = await PlatformEndpointStandIn.start(
    {id: 'plain-1', service: 'plain'},
    store,
  );
  await startHost();
  await program.until(() => program.hasLogged('endpointFound'));
  const uploads = Array.from({length: 40}, () => upload(PLATFORM_KEY, 16_000));
  expect(new Set(await Promise.all(uploads))).toContain('503');
  const answer = await send(callerPort, {
    path: '/order/x',
    method: 'POST',
    body: 'x'.repeat(BODY_BYTES),
  });
  expect(answer.status).toBe(200);
  await endpoint.stop();
});
