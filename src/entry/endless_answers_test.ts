import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from 'node:net';
import {afterAll, afterEach, beforeAll, expect, test} from 'vitest';
import {freePorts} from '../testing/free_ports.ts';
import {send} from '../testing/platform_caller.ts';
import {
  entrySettings,
  platformConfiguration,
} from '../testing/platform_deployment.ts';
import {PlatformEndpointStandIn} from '../testing/platform_endpoint_stand_in.ts';
import {PlatformStoreStandIn} from '../testing/platform_store_stand_in.ts';
import {BuiltPrograms, ProgramProcess} from '../testing/program_process.ts';

/** `memory_mb` of the sites. */
const MEMORY_MEGABYTES = 350;

const CALLERS = 40;

/** Time-out of the routes, at which the faulty answers end. */
const TIMEOUT_MILLISECONDS = 3000;

/** Pieces of an answer, as many as fit into one write. */
const CHUNKS = '37\r\n'.concat('x'.repeat(0x37), '\r\n').repeat(1000);

let programs: BuiltPrograms;
let store: PlatformStoreStandIn;
let sound: PlatformEndpointStandIn;
let faulty: Server;
let start: (requestId: string) => string;
let repeated: string;
let program: ProgramProcess;

beforeAll(async () => {
  programs = BuiltPrograms.build();
  store = await PlatformStoreStandIn.start();
  store.put(
    'op',
    'config',
    platformConfiguration({timeoutMilliseconds: TIMEOUT_MILLISECONDS}),
  );
  sound = await PlatformEndpointStandIn.start(
    {id: 'plain-1', service: 'plain'},
    store,
  );
  faulty = createServer(connection => {
    connection.on('error', () => undefined);
    connection.once('data', data => {
      const [, id = ''] = /request-id: (\S+)/iu.exec(data.toString()) ?? [];
      connection.write(start(id));
      flood(connection);
    });
  });
  await new Promise<void>(resolve => faulty.listen(0, '127.0.0.1', resolve));
  store.put('servers', 'engine-1', {
    service: 'engines',
    address: `127.0.0.1:${(faulty.address() as AddressInfo).port}`,
    zone: 'zone-a',
    version: 'v1',
    slots: 64,
    state: 'ready',
    cold_remaining_ms: 0,
    sequence: 1,
    born: 1,
    stage: 'combined',
    models: [{name: 'model-a', version: 1, adapters: []}],
    available: {in_memory: [], on_disk: []},
  });
});

afterEach(() => program.kill());

afterAll(async () => {
  programs.remove();
  faulty.close();
  await sound.stop();
  await store.stop();
});

function flood(connection: Socket): void {
  if (connection.destroyed) return;
  if (connection.write(repeated)) setImmediate(() => flood(connection));
  else connection.once('drain', () => flood(connection));
}

const head = (status: string, id: string) =>
  `HTTP/1.1 ${status}\r\nRequest-Id: ${id}\r\nServer-Signature: s\r\n`;
const inChunks = 'Transfer-Encoding: chunked\r\n\r\n';

// Guards against a process that ends, with the requests of others, because an engine
// sends bytes without end and all of them are kept (Fault, LOST).
test.each([
  {
    name: 'a failure in small chunks',
    begin: (id: string) => head('500 Failed', id) + inChunks,
    repeat: CHUNKS,
  },
  {
    name: 'an event in small chunks',
    begin: (id: string) => head('200 OK', id) + inChunks,
    repeat: CHUNKS,
  },
  {
    name: 'a failure without a length',
    begin: (id: string) => `${head('500 Failed', id)}\r\n`,
    repeat: 'x'.repeat(16_000),
  },
  {
    name: 'a header',
    begin: (id: string) => `${head('200 OK', id)}Name: `,
    repeat: 'x'.repeat(16_000),
  },
  {
    name: 'interim responses',
    begin: () => '',
    repeat: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(500),
  },
])('$name without end costs bounded memory', async ({begin, repeat}) => {
  start = begin;
  repeated = repeat;
  const [callers, readiness, directory, peers] = await freePorts(4);
  program = new ProgramProcess(
    programs,
    'entry',
    entrySettings('host-1', store.address, {
      callers: callers!,
      readiness: readiness!,
      directory: directory!,
      peers: peers!,
    }),
  );
  await program.until(() => program.hasLogged('configurationApplied'));
  await program.until(() => program.output.split('"endpointFound"').length > 2);
  let largest = 0;
  const timer = setInterval(() => {
    largest = Math.max(largest, program.residentMegabytes);
  }, 20);
  const chats = Array.from({length: CALLERS}, () =>
    send(callers!, {
      path: '/chat/x',
      method: 'POST',
      headers: {Model: 'model-a'},
    }).catch(() => undefined),
  );
  for (let count = 0; count < 20; count++) {
    const answer = await send(callers!, {path: '/order/x', method: 'POST'});
    expect(answer.status).toBe(200);
  }
  await Promise.all(chats);
  clearInterval(timer);
  console.info(`largest memory: ${Math.round(largest)} MB`);
  expect(program.ended).toBeUndefined();
  expect(largest).toBeLessThan(MEMORY_MEGABYTES);
});
