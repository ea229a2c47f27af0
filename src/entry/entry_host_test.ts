import {request as httpRequest} from 'node:http';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {createEventLogger} from '../observability/mod.ts';
import {createPlatform} from '../platform/mod.ts';
import {freePorts} from '../testing/free_ports.ts';
import {
  entrySettings,
  PLATFORM_KEY,
  platformConfiguration,
} from '../testing/platform_deployment.ts';
import {
  type EndpointTrouble,
  PlatformEndpointStandIn,
} from '../testing/platform_endpoint_stand_in.ts';
import {send} from '../testing/platform_caller.ts';
import {PlatformStoreStandIn} from '../testing/platform_store_stand_in.ts';
import {SystemClock} from '../time/mod.ts';
import {EntryHost} from './mod.ts';

let store: PlatformStoreStandIn;
let plain: PlatformEndpointStandIn[];
let engines: PlatformEndpointStandIn[];
let hosts: EntryHost[];
let ports: {callers: number; readiness: number; directory: number}[];
let lines: string[];

beforeEach(async () => {
  store = await PlatformStoreStandIn.start();
  store.put('op', 'config', platformConfiguration());
  plain = [
    await PlatformEndpointStandIn.start(
      {id: 'plain-1', service: 'plain'},
      store,
    ),
    await PlatformEndpointStandIn.start(
      {id: 'plain-2', service: 'plain'},
      store,
    ),
  ];
  engines = [
    await PlatformEndpointStandIn.start(
      {id: 'engine-1', service: 'engines', models: ['model-a']},
      store,
    ),
    await PlatformEndpointStandIn.start(
      {id: 'engine-2', service: 'engines', models: ['model-a']},
      store,
    ),
  ];
  hosts = [];
  ports = [];
  lines = [];
});

afterEach(async () => {
  await Promise.all(hosts.map(host => host.drain()));
  await Promise.all([...plain, ...engines].map(endpoint => endpoint.stop()));
  await store.stop();
});

describe('EntryHost', () => {
  interface RelayCase {
    kind: 'look' | 'order' | 'chat' | 'draft';
    trouble: EndpointTrouble;
    /** Faulty responses before the endpoints recover. */
    troubles: number;
    status: number;
    /** Executions begun by endpoints. */
    runs: number;
    isBroken?: boolean;
  }
  // The endpoint executes the request, but its response is lost or unusable.
  const lostAnswers: readonly EndpointTrouble[] = [
    'loses_answer',
    'cuts_body',
    'unframed_reset',
    'answers_other',
    'unsigned',
  ];
  const relayed: RelayCase[] = [
    {kind: 'look', trouble: 'none', troubles: 0, status: 200, runs: 1},
    {kind: 'order', trouble: 'none', troubles: 0, status: 200, runs: 1},
    {kind: 'chat', trouble: 'none', troubles: 0, status: 200, runs: 1},
    // Idempotent requests are retried at another endpoint.
    ...lostAnswers.map((trouble): RelayCase => ({
      kind: 'look',
      trouble,
      troubles: 1,
      status: 200,
      runs: 2,
    })),
    {kind: 'look', trouble: 'fails', troubles: 1, status: 200, runs: 2},
    // Non-idempotent requests run once, and the status does not claim that they
    // were not executed.
    ...lostAnswers.map((trouble): RelayCase => ({
      kind: 'order',
      trouble,
      troubles: 1,
      status: 502,
      runs: 1,
    })),
    {kind: 'chat', trouble: 'loses_answer', troubles: 1, status: 502, runs: 1},
    // Requests that were not executed may be sent to another endpoint.
    {kind: 'order', trouble: 'sheds', troubles: 1, status: 200, runs: 1},
    {kind: 'chat', trouble: 'sheds', troubles: 1, status: 200, runs: 1},
    // All engines with the model refused once; they may accept it shortly after.
    {kind: 'chat', trouble: 'sheds', troubles: 2, status: 200, runs: 1},
    // A resumable stream resumes at another endpoint.
    {kind: 'draft', trouble: 'loses_answer', troubles: 1, status: 200, runs: 2},
  ];
  test.each(relayed)(
    '$kind with $trouble ends with $status after $runs runs',
    async ({kind, trouble, troubles, status, runs}) => {
      await startHost('host-1');
      injectFaults(trouble, troubles);
      const answer = await send(ports[0]!.callers, {
        path: `/${kind}/x`,
        ...(kind === 'look' ? {} : {method: 'POST', body: 'opaque'}),
        ...(kind === 'chat' || kind === 'draft'
          ? {headers: {Model: 'model-a'}}
          : {}),
      });
      expect(answer.status).toBe(status);
      expect(allRuns().length).toBe(runs);
      if (status === 200) {
        expect(answer.headers['server-signature']).toMatch(/^signature-of/);
        expect(answer.headers['request-id']).toBe('request-1');
      } else {
        expect(answer.headers['server-signature']).toBeUndefined();
      }
    },
  );

  // Guards against MIXED and ORDER violations: a body without a frame looks complete
  // when its host is killed. One that ends without a reset is complete.
  test.each(['order', 'look'])(
    'a response to %s without a length gets the one of its body',
    async kind => {
      await startHost('host-1');
      injectFaults('unframed_end', 1);
      const answer = await send(ports[0]!.callers, {
        path: `/${kind}/x`,
        method: 'POST',
        body: 'opaque',
      });
      expect(answer.status).toBe(200);
      expect(answer.headers['content-length']).toBe(String('half of'.length));
      expect(answer.headers['transfer-encoding']).toBeUndefined();
      expect(answer.body).toBe('half of');
      expect(answer.isBroken).toBe(false);
    },
  );

  // Guards against MIXED violations: bytes that arrive after a response belong to
  // no request and must not be parsed as the response to the next one.
  test('an unsolicited response is not forwarded', async () => {
    await startHost('host-1');
    injectFaults('extra_answer', 1);
    for (let count = 0; count < 4; count++) {
      const answer = await send(ports[0]!.callers, {path: '/look/x'});
      expect(answer.status).toBe(200);
      expect(answer.body).toBe('the whole answer');
    }
  });

  // Guards against CONFIG violations: a final response is due by the time-out of
  // the route.
  test.each([
    {kind: 'order', status: 504},
    {kind: 'chat', status: 504},
  ])('$kind to a silent endpoint ends with $status', async entry => {
    store.put(
      'op',
      'config',
      platformConfiguration({version: 2, timeoutMilliseconds: 300}),
    );
    await startHost('host-1');
    injectFaults('hangs', 10);
    const answer = await send(ports[0]!.callers, {
      path: `/${entry.kind}/x`,
      method: 'POST',
      headers: entry.kind === 'chat' ? {Model: 'model-a'} : {},
    });
    expect(answer.status).toBe(entry.status);
    expect(allRuns().length).toBe(1);
  });

  // Guards against GONE violations: an endpoint must not continue a request whose
  // caller has disconnected.
  test('a disconnecting caller cancels its request at the endpoint', async () => {
    await startHost('host-1');
    injectFaults('hangs', 10);
    const request = httpRequest({
      host: '127.0.0.1',
      port: ports[0]!.callers,
      path: '/look/x',
      headers: {Host: 'api.example', 'X-Api-Key': PLATFORM_KEY},
    });
    request.on('error', () => undefined);
    request.end();
    await expect.poll(() => allRuns().length).toBe(1);
    request.destroy();
    await expect
      .poll(() => lines.some(line => line.includes('"callerLeft"')))
      .toBe(true);
    await expect
      .poll(() => Math.max(...plain.map(endpoint => endpoint.requestsUnderWay)))
      .toBe(0);
    expect(allRuns().length).toBe(1);
  });

  // Guards against callers that set headers reserved for the system, and against
  // API keys that are forwarded to endpoints.
  test('reserved headers of the caller are replaced or dropped', async () => {
    await startHost('host-1');
    await send(ports[0]!.callers, {
      path: '/order/x?q=1',
      method: 'POST',
      body: 'opaque',
      headers: {
        Tenant: 'forged',
        'Expect-Instance': 'forged',
        'Pin-Ms': '1',
        'Kv-From': '1.2.3.4:5/6',
        'Deadline-Ms': '900',
        Connection: 'keep-alive, X-Private',
        'X-Private': 'secret',
        'X-Public': 'kept',
      },
    });
    const [seen] = allRuns();
    expect(seen?.path).toBe('/order/x?q=1');
    expect(seen?.body).toBe('opaque');
    expect(seen?.headers).toMatchObject({
      tenant: 'workshop',
      'x-public': 'kept',
    });
    expect(Number(seen?.headers['deadline-ms'])).toBeLessThanOrEqual(900);
    for (const name of ['x-api-key', 'pin-ms', 'kv-from', 'x-private']) {
      expect(seen?.headers[name]).toBeUndefined();
    }
  });

  const refusals = [
    {name: 'unknown key', path: '/look/x', key: 'wrong', status: 401},
    {name: 'no key', path: '/look/x', key: '', status: 401},
    {name: 'open route without a key', path: '/open/x', key: '', status: 200},
    {name: 'unknown path', path: '/none/x', key: PLATFORM_KEY, status: 404},
    {
      name: 'prefix without its slash',
      path: '/look',
      key: PLATFORM_KEY,
      status: 404,
    },
    {
      name: 'body over the limit',
      path: '/order/x',
      key: PLATFORM_KEY,
      body: 'x'.repeat(100_001),
      status: 413,
    },
  ];
  test.each(refusals)('$name gets status $status', async entry => {
    await startHost('host-1');
    const answer = await send(ports[0]!.callers, {
      path: entry.path,
      ...(entry.body === undefined ? {} : {method: 'POST', body: entry.body}),
      headers: {'X-Api-Key': entry.key},
    });
    expect(answer.status).toBe(entry.status);
    expect(allRuns().length).toBe(entry.status === 200 ? 1 : 0);
  });

  test('a configuration change replaces the keys, and an older version is ignored', async () => {
    await startHost('host-1');
    store.put(
      'op',
      'config',
      platformConfiguration({version: 2, keys: ['new']}),
    );
    const status = (key: string) =>
      send(ports[0]!.callers, {
        path: '/look/x',
        headers: {'X-Api-Key': key},
      }).then(answer => answer.status);
    await expect.poll(() => status('new')).toBe(200);
    expect(await status(PLATFORM_KEY)).toBe(401);
    // An older version is never applied.
    store.put('op', 'config', platformConfiguration({version: 1}));
    await new Promise(resolve => setTimeout(resolve, 300));
    expect(await status('new')).toBe(200);
  });

  test('a request for a model that is not loaded waits until it is', async () => {
    await startHost('host-1');
    const answer = await send(ports[0]!.callers, {
      path: '/draft/x',
      method: 'POST',
      headers: {Model: 'model-b'},
    });
    expect(answer.status).toBe(200);
    expect(answer.body).toContain('event 3');
    expect(
      engines.some(engine =>
        engine.orders.some(
          order => order.operation === 'load' && order.model === 'model-b',
        ),
      ),
    ).toBe(true);
  });

  test('a request for an adapter waits until it is loaded', async () => {
    await startHost('host-1');
    const answer = await send(ports[0]!.callers, {
      path: '/chat/x',
      method: 'POST',
      headers: {Model: 'model-a/a1'},
    });
    expect(answer.status).toBe(200);
  });

  test('a host that has lost the store serves with its last known state', async () => {
    await startHost('host-1');
    store.trouble = 'silent';
    const answer = await send(ports[0]!.callers, {path: '/look/x'});
    expect(answer.status).toBe(200);
  });

  test('a host without a configuration responds with 503', async () => {
    store.trouble = 'busy';
    await startHost('host-1', false);
    const answer = await send(ports[0]!.callers, {path: '/look/x'});
    expect(answer.status).toBe(503);
    expect(answer.headers['retry-after']).toBeDefined();
    store.trouble = 'none';
  });

  test('a draining endpoint gets no new requests', async () => {
    await startHost('host-1');
    plain[0]?.register('draining');
    await expect
      .poll(() => lines.some(line => line.includes('"endpointLeaving"')))
      .toBe(true);
    for (let count = 0; count < 6; count++) {
      await send(ports[0]!.callers, {path: '/look/x'});
    }
    expect(plain[0]?.ran.length).toBe(0);
    expect(plain[1]?.ran.length).toBe(6);
  });

  test('two hosts list each other, and a draining one is removed', async () => {
    await startHost('host-1');
    await startHost('host-2');
    const addresses = async () => {
      const answer = await send(ports[0]!.directory, {
        path: '/limpetdale/resolution?name=api.example&region=r&zone=zone-a',
      });
      return (JSON.parse(answer.body) as {addresses: string[]}).addresses;
    };
    await expect.poll(async () => (await addresses()).length).toBe(2);
    const draining = hosts[1]!.drain();
    await expect.poll(async () => (await addresses()).length).toBe(1);
    await draining;
  });

  test('a host with a configuration reports that it is ready', async () => {
    await startHost('host-1');
    const answer = await send(ports[0]!.readiness, {
      path: '/limpetdale/readiness',
    });
    expect(answer.status).toBe(200);
  });
});

async function startHost(hostId: string, isConfigured = true): Promise<void> {
  const [callers, readiness, directory, peers] = await freePorts(4);
  const own = {callers: callers!, readiness: readiness!, directory: directory!};
  ports.push(own);
  const settings = entrySettings(hostId, store.address, {
    ...own,
    peers: peers!,
  });
  const host = await EntryHost.start({
    settings,
    clock: new SystemClock(),
    logger: createEventLogger({write: line => lines.push(line)}),
    platform: createPlatform({
      address: store.address,
      timeoutMilliseconds: 500,
    }),
  });
  hosts.push(host);
  if (!isConfigured) return;
  await expect
    .poll(() => lines.filter(line => line.includes('"endpointFound"')).length)
    .toBeGreaterThanOrEqual(4 * hosts.length);
  await expect
    .poll(() => lines.some(line => line.includes('"configurationApplied"')))
    .toBe(true);
}

/** Injects a number of faulty responses, shared by all endpoints. */
function injectFaults(trouble: EndpointTrouble, troubles: number): void {
  const shared = {left: troubles};
  for (const endpoint of [...plain, ...engines]) {
    endpoint.trouble = trouble;
    Object.defineProperty(endpoint, 'troubles', {
      get: () => shared.left,
      set: (left: number) => (shared.left = left),
    });
  }
}

function allRuns() {
  return [...plain, ...engines].flatMap(endpoint => endpoint.ran);
}
