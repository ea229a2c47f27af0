import {request as httpRequest} from 'node:http';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {createEventLogger} from '../observability/mod.ts';
import {createPlatform} from '../platform/mod.ts';
import {freePorts} from '../testing/free_ports.ts';
import {send} from '../testing/platform_caller.ts';
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
let callers: number;
let lines: string[];

beforeEach(async () => {
  store = await PlatformStoreStandIn.start();
  store.put(
    'op',
    'config',
    platformConfiguration({timeoutMilliseconds: 20_000}),
  );
  endpoint = await PlatformEndpointStandIn.start(
    {id: 'plain-1', service: 'plain'},
    store,
  );
  lines = [];
  const ports = await freePorts(4);
  callers = ports[0]!;
  host = await EntryHost.start({
    settings: entrySettings('host-1', store.address, {
      callers,
      readiness: ports[1]!,
      directory: ports[2]!,
      peers: ports[3]!,
    }),
    clock: new SystemClock(),
    logger: createEventLogger({write: line => lines.push(line)}),
    platform: createPlatform({
      address: store.address,
      timeoutMilliseconds: 500,
    }),
  });
  await isLogged('endpointFound');
  await isLogged('configurationApplied');
});

afterEach(async () => {
  await host.drain();
  await endpoint.stop();
  await store.stop();
});

async function isLogged(event: string, times = 1): Promise<void> {
  await expect
    .poll(() => lines.filter(line => line.includes(`"${event}"`)).length, {
      timeout: 5000,
    })
    .toBeGreaterThanOrEqual(times);
}

/** Configuration of version 2 with another target of the route `order`. */
function configurationWithOrderTo(service: string | undefined) {
  const configuration = platformConfiguration({version: 2});
  const routes = configuration.routes.flatMap(route => {
    if (route.name !== 'order') return [route];
    return service === undefined ? [] : [{...route, service}];
  });
  return {...configuration, routes};
}

/** Applies a configuration and waits until the host uses it. */
async function configure(configuration: unknown): Promise<void> {
  store.put('op', 'config', configuration);
  await isLogged('configurationApplied', 2);
}

// Guards against lost answers (the property LOST) beside planned changes: what an
// endpoint works on is not cut.
test.each([
  {
    name: 'its route moves to another service',
    change: () => configure(configurationWithOrderTo('engines')),
  },
  {
    name: 'its route is removed',
    change: () => configure(configurationWithOrderTo(undefined)),
  },
  {
    name: 'its key is removed',
    change: () => configure(platformConfiguration({version: 2, keys: ['new']})),
  },
  {
    name: 'its endpoint drains',
    change: () => {
      endpoint.register('draining');
      return isLogged('endpointLeaving');
    },
  },
  {
    name: 'its endpoint is removed',
    change: async () => {
      endpoint.register('draining');
      await isLogged('endpointLeaving');
      store.drop('servers', 'plain-1');
      await isLogged('endpointGone');
    },
  },
])('a request under way is answered when $name', async ({change}) => {
  endpoint.trouble = 'hangs';
  const answer = send(callers, {
    path: '/order/x',
    method: 'POST',
    body: 'body',
  });
  await expect.poll(() => endpoint.ran.length).toBe(1);
  await change();
  endpoint.answerHanging();
  expect(await answer).toMatchObject({
    status: 200,
    body: 'the whole answer',
    isBroken: false,
  });
});

// Guards against requests without an answer (the property LOST), or handled as
// only an older configuration allows (CONFIG), whose body arrives meanwhile.
test.each([
  {
    name: 'still allows it',
    configuration: platformConfiguration({version: 2}),
    status: 200,
  },
  {
    name: 'has removed its route',
    configuration: configurationWithOrderTo(undefined),
    status: 404,
  },
  {
    name: 'has removed its key',
    configuration: platformConfiguration({version: 2, keys: ['new']}),
    status: 401,
  },
])(
  'a request whose body arrives beside a configuration that $name gets $status',
  async ({configuration, status}) => {
    const request = httpRequest({
      host: '127.0.0.1',
      port: callers,
      method: 'POST',
      path: '/order/x',
      headers: {
        Host: 'api.example',
        'Request-Id': 'request-1',
        'X-Api-Key': PLATFORM_KEY,
        'Content-Length': 4,
      },
    });
    const answered = new Promise<number | undefined>((resolve, reject) => {
      request.once('response', response => {
        response.resume();
        resolve(response.statusCode);
      });
      request.once('error', reject);
    });
    request.write('bo');
    await configure(configuration);
    request.end('dy');
    expect(await answered).toBe(status);
    expect(endpoint.ran.length).toBe(status === 200 ? 1 : 0);
  },
);
