import {afterEach, describe, expect, it} from 'vitest';
import {
  chat,
  collect,
  createDeployment,
  errorOf,
  serviceCall,
  startEngine,
  startProxy,
  startService,
  stopServers,
  type TestHost,
} from '../testing/request_host.ts';
import type {ModelEvent} from './model_request.ts';
import type {ServiceRequest} from './service_request.ts';

afterEach(stopServers);

/**
 * Short time-outs, so that tests of silent connections end quickly. With 60 ms,
 * live connections timed out on a machine with load 16 on 10 cores.
 */
const SHORT_TIMEOUTS = {
  engineProgressMilliseconds: 400,
  repeatableHeadMilliseconds: 400,
};

async function deployWithProxies(count: number, answerTokens = 16) {
  const engines = [];
  const proxies = [];
  const addresses: Record<string, string> = {};
  for (let number = 1; number <= count; number++) {
    const engine = await startEngine({answerTokens});
    const proxy = await startProxy(engine.server);
    engines.push(engine);
    proxies.push(proxy);
    addresses[`engine-${number}`] = proxy.address;
  }
  const deployment = createDeployment(engines, [], {
    ...SHORT_TIMEOUTS,
    addresses,
  });
  return {engines, proxies, ...deployment};
}

/** Collects events and calls `act` once after `count` of them. */
async function collectAndActAt(
  events: AsyncIterable<ModelEvent>,
  count: number,
  act: () => void,
): Promise<ModelEvent[]> {
  const all: ModelEvent[] = [];
  for await (const event of events) {
    all.push(event);
    if (all.length === count) act();
  }
  return all;
}

function expectCompleteAnswer(
  events: readonly ModelEvent[],
  tokens: number,
): void {
  expect(errorOf(events)).toBeUndefined();
  const indexes = events.flatMap(event =>
    event.kind === 'token' ? [event.index] : [],
  );
  expect(indexes).toEqual(Array.from({length: tokens}, (_u, index) => index));
  expect(events.at(-1)).toMatchObject({completionTokens: tokens});
}

describe('a stream whose connection fails', () => {
  it.each([
    {fault: 'is cut', act: 'cutAll'},
    {fault: 'goes silent', act: 'silenceAll'},
  ] as const)('is resumed on its engine when it $fault', async ({act}) => {
    const {engines, proxies, host, authorization} = await deployWithProxies(
      2,
      60,
    );
    const events = await collectAndActAt(
      host.path.runModel(chat(authorization)),
      10,
      () => proxies.forEach(proxy => proxy[act]()),
    );
    expectCompleteAnswer(events, 60);
    const runs = engines.flatMap(engine => engine.runsStarted);
    expect(runs).toHaveLength(1);
  });

  it('is resumed each time when every connection is cut after some bytes', async () => {
    const {engines, proxies, host, authorization} = await deployWithProxies(
      1,
      60,
    );
    proxies[0]!.cutsAfterBytes = 1200;
    const events = await collect(host.path.runModel(chat(authorization)));
    expectCompleteAnswer(events, 60);
    expect(engines[0]!.runsStarted).toHaveLength(1);
    expect(proxies[0]!.accepted).toBeGreaterThan(3);
  });

  it('goes on at another engine when nothing was delivered', async () => {
    const {engines, proxies, host, authorization} = await deployWithProxies(2);
    proxies[0]!.swallowsNew = true;
    const events = await collect(host.path.runModel(chat(authorization)));
    expectCompleteAnswer(events, 16);
    expect(engines.map(engine => engine.runsStarted.length)).toEqual([0, 1]);
    expect(host.observed).toEqual(['silent engine-1', 'succeeded engine-2']);
  });

  it('ends with an explicit failure when its engine dies after some tokens', async () => {
    const {engines, host, authorization} = await deployWithProxies(2, 60);
    const events = await collectAndActAt(
      host.path.runModel(chat(authorization)),
      10,
      () => void engines[0]!.restart(),
    );
    const error = {code: 'endpoint_failed', run: 'unknown', step: 'relay'};
    expect(errorOf(events)).toMatchObject(error);
    expect(engines[1]!.runsStarted).toEqual([]);
  });

  it('is tried elsewhere when its engine dies before the first token', async () => {
    const {engines, host, authorization} = await deployWithProxies(2);
    engines[0]!.server.faults = {
      ...engines[0]!.server.faults,
      delayMilliseconds: 40,
    };
    const events = collect(host.path.runModel(chat(authorization)));
    setTimeout(() => void engines[0]!.server.stop(), 20);
    expectCompleteAnswer(await events, 16);
    expect(engines[1]!.runsStarted).toHaveLength(1);
  });

  it('cancels the run when the caller leaves', async () => {
    const {engines, host, authorization} = await deployWithProxies(1, 100_000);
    const caller = new AbortController();
    const events = await collectAndActAt(
      host.path.runModel(
        chat(authorization, {maximumTokens: 100_000, signal: caller.signal}),
      ),
      5,
      () => caller.abort(),
    );
    expect(errorOf(events)).toMatchObject({code: 'request_cancelled'});
    while (engines[0]!.cancelledRuns === 0) {
      await new Promise(resolve => setTimeout(resolve, 1));
    }
    expect(host.path.activeRequests()).toBe(0);
  });

  it('cancels the run when its events are not read any more', async () => {
    const {engines, host, authorization} = await deployWithProxies(1, 100_000);
    const request = chat(authorization, {maximumTokens: 100_000});
    for await (const event of host.path.runModel(request)) {
      if (event.kind === 'token') break;
    }
    while (engines[0]!.cancelledRuns === 0) {
      await new Promise(resolve => setTimeout(resolve, 1));
    }
    expect(host.path.activeRequests()).toBe(0);
  });

  it('is kept for the next run after a whole answer', async () => {
    const {proxies, host, authorization} = await deployWithProxies(1);
    for (let run = 0; run < 3; run++) {
      expectCompleteAnswer(
        await collect(host.path.runModel(chat(authorization))),
        16,
      );
    }
    expect(proxies[0]!.accepted).toBe(1);
  });

  it('is no silence when the caller reads slowly', async () => {
    const {proxies, host, authorization} = await deployWithProxies(1, 20);
    const events: ModelEvent[] = [];
    for await (const event of host.path.runModel(chat(authorization))) {
      events.push(event);
      if (events.length !== 3) continue;
      await new Promise(resolve => setTimeout(resolve, 900));
    }
    expectCompleteAnswer(events, 20);
    expect(proxies[0]!.accepted).toBe(1);
  });
});

async function readAnswer(
  host: TestHost,
  call: ServiceRequest,
): Promise<unknown> {
  const response = await host.path.callService(call);
  if (!response.ok) throw new Error(response.error.message);
  const chunks = [];
  for await (const chunk of response.value.body) chunks.push(chunk);
  return JSON.parse(Buffer.concat(chunks).toString());
}

describe('a service whose connection fails', () => {
  async function deployServices() {
    const services = [await startService(), await startService()];
    const proxies = [];
    const addresses: Record<string, string> = {};
    for (const [index, service] of services.entries()) {
      const proxy = await startProxy(service.server);
      proxies.push(proxy);
      addresses[`service-${index + 1}`] = proxy.address;
    }
    const deployment = createDeployment([], services, {
      ...SHORT_TIMEOUTS,
      addresses,
      random: () => 0,
      routeTimeoutMilliseconds: 3000,
    });
    return {services, proxies, ...deployment};
  }

  it.each([
    {fault: 'swallows the call', set: {swallowsNew: true}},
    {fault: 'is cut before the answer', set: {cutsAfterBytes: 0}},
    {fault: 'is cut within the answer', set: {cutsAfterBytes: 230}},
    {fault: 'goes silent within the answer', set: {silentAfterBytes: 230}},
  ])('answers a repeatable call when the connection $fault', async ({set}) => {
    const {services, proxies, host, authorization} = await deployServices();
    Object.assign(proxies[0]!, set);
    const answer = await readAnswer(host, serviceCall(authorization));
    expect(answer).toMatchObject({service: 'service'});
    expect(services[1]!.runs).toHaveLength(1);
  });

  it.each([
    {fault: 'swallows the call', set: {swallowsNew: true}, runs: 0},
    {fault: 'is cut before the answer', set: {cutsAfterBytes: 0}, runs: 1},
  ])(
    'sends a call that may not be repeated once when the connection $fault',
    async ({set, runs}) => {
      const {services, proxies, host, authorization} = await deployServices();
      Object.assign(proxies[0]!, set);
      const response = await host.path.callService(
        serviceCall(authorization, {method: 'POST'}),
      );
      expect(response).toMatchObject({ok: false, error: {run: 'unknown'}});
      expect(services[0]!.runs).toHaveLength(runs);
      expect(services[1]!.runs).toHaveLength(0);
    },
  );

  it('opens a connection for each call that may not be repeated', async () => {
    const {proxies, services, host, authorization} = await deployServices();
    for (let call = 0; call < 3; call++) {
      await readAnswer(host, serviceCall(authorization));
      // The pooled connection goes silent without being closed.
      proxies[0]!.silenceAll();
      await readAnswer(host, serviceCall(authorization, {method: 'POST'}));
    }
    const posts = services
      .flatMap(service => service.runs)
      .filter(({method}) => method === 'POST');
    expect(posts).toHaveLength(3);
  });

  it('does not keep a request open whose answer nobody reads', async () => {
    const {host, authorization} = await deployServices();
    const caller = new AbortController();
    const response = await host.path.callService(
      serviceCall(authorization, {signal: caller.signal}),
    );
    expect(response.ok).toBe(true);
    expect(host.path.activeRequests()).toBe(1);
    caller.abort();
    expect(host.path.activeRequests()).toBe(0);
  });
});
