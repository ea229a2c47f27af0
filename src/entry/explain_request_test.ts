import {afterEach, expect, test} from 'vitest';
import {EntryFleet} from '../testing/entry_fleet.ts';
import {freePorts} from '../testing/free_ports.ts';
import {send} from '../testing/platform_caller.ts';
import {platformConfiguration} from '../testing/platform_deployment.ts';

let fleet: EntryFleet;

afterEach(() => fleet.stop());

/** A host with two plain endpoints and a pool without engines. */
async function start() {
  fleet = await EntryFleet.start(platformConfiguration({rate: 1, burst: 50}));
  const endpoints = [
    await fleet.startEndpoint({id: 'plain-1', service: 'plain'}),
    await fleet.startEndpoint({id: 'plain-2', service: 'plain'}),
  ];
  const [metricsPort = 0] = await freePorts(1);
  const host = await fleet.startHost('host-1', {metricsPort});
  const get = (path: string) => fetch(`http://127.0.0.1:${metricsPort}${path}`);
  return {
    endpoints,
    /** Metrics of requests, without those of the process. */
    metrics: async () =>
      (await (await get('/metrics')).text())
        .split('\n')
        .filter(line => /(request|endpoint|prompt|admission)/.test(line)),
    call: () => send(host.callerPort, {path: '/look/1'}),
    explain: async (query: string) => {
      const response = await get(`/explain?host=api.example&${query}`);
      return {status: response.status, body: await response.json()} as object;
    },
  };
}

const LOOK = 'path=/look/1&team=workshop';

// Guards against an explanation that sends a request, counts one, or takes something
// from the rate of the team.
test('a host explains a request without an effect', async () => {
  const {call, endpoints, explain, metrics} = await start();
  const before = await metrics();
  for (let count = 0; count < 20; count++) {
    expect(await explain(LOOK)).toMatchObject({
      status: 200,
      body: {
        ...{host: 'host-1', route: 'look', team: 'workshop', priority: 1},
        outcome: {kind: 'sent'},
        candidates: [{requests: 0}, {requests: 0}],
      },
    });
  }
  expect(endpoints.flatMap(({arrivals}) => arrivals)).toEqual([]);
  expect(await metrics()).toEqual(before);
  // The burst of 50 covers five requests of 10.
  const statuses = [];
  for (let count = 0; count < 6; count++) statuses.push((await call()).status);
  expect(statuses).toEqual([200, 200, 200, 200, 200, 429]);
  expect(await explain(LOOK)).toMatchObject({
    body: {outcome: {kind: 'refused', error: {code: 'rate_limit_exceeded'}}},
  });
});

const CHAT = 'path=/chat/1&team=workshop';

const ERRORS = [
  ['path=/none/', 404, 'route_not_found', 'parse'],
  [`${LOOK}&service=engines`, 404, 'route_not_found', 'parse'],
  ['path=/look/1&team=nobody', 404, 'invalid_api_key', 'authenticate'],
  ['path=/look/1', 404, 'invalid_api_key', 'authenticate'],
  [`${CHAT}&model=model-x`, 404, 'model_not_found', 'place'],
  [`${LOOK}&priority=10`, 400, 'invalid_request', 'parse'],
  [`${LOOK}&modle=model-a`, 400, 'invalid_request', 'parse'],
] as const;

// Guards against errors that do not name what is wrong, and a host that explains a
// request other than the one asked for.
test('a host answers each query', async () => {
  const {explain} = await start();
  for (const [query, status, code, step] of ERRORS) {
    const answer = {query, ...(await explain(query))};
    expect(answer).toMatchObject({query, status, body: {error: {code, step}}});
  }
  expect(await explain('path=/open/1&priority=7')).toMatchObject({
    body: {route: 'open', priority: 7, outcome: {kind: 'sent'}},
  });
  expect(await explain(`${CHAT}&model=model-a/x`)).toMatchObject({
    body: {target: 'model-a/x', outcome: {kind: 'waits_for_replica'}},
  });
});
