import {afterEach, describe, expect, it} from 'vitest';
import {
  chat,
  collect,
  errorOf,
  createDeployment,
  serviceCall,
  startEngine,
  startService,
  stopServers,
  textOf,
} from '../testing/request_host.ts';

afterEach(stopServers);

async function readBody(body: AsyncIterable<Uint8Array>): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of body) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

describe('runModel', () => {
  it('relays the whole response and settles the tokens used', async () => {
    const engine = await startEngine();
    const {host, authorization} = createDeployment([engine], []);
    const events = await collect(host.path.runModel(chat(authorization)));
    expect(events[0]).toMatchObject({kind: 'accepted', team: 'workshop'});
    expect(events.slice(1, -1).map(event => event.kind)).toEqual(
      Array.from({length: 16}, () => 'token'),
    );
    expect(textOf(events)).toMatch(/^six-0 walnut-1 veneers-2 six-3 /);
    expect(events.at(-1)).toMatchObject({kind: 'end', completionTokens: 16});
    // 18 characters are estimated as 5 tokens; the engine counts 3.
    expect(host.reservations).toEqual([{tokens: 105, used: 19}]);
    expect(host.path.activeRequests()).toBe(0);
  });

  it.each([
    {name: 'no key', code: 'invalid_api_key', change: {authorization: ''}},
    {
      name: 'an unknown key',
      code: 'invalid_api_key',
      change: {authorization: 'Bearer ld-unknown'},
    },
    {
      name: 'a model outside the contract',
      code: 'model_not_found',
      change: {model: 'model-2'},
    },
  ])('refuses $name before contacting an engine', async ({code, change}) => {
    const engine = await startEngine();
    const {host, authorization} = createDeployment([engine], []);
    const request = {...chat(authorization), ...change};
    const events = await collect(host.path.runModel(request));
    expect(events).toHaveLength(1);
    expect(errorOf(events)).toMatchObject({code, run: 'not_run'});
    expect(engine.runsStarted).toEqual([]);
  });

  it('refuses while its view is not confirmed', async () => {
    const engine = await startEngine();
    const {host, authorization} = createDeployment([engine], []);
    host.confirmed = false;
    const events = await collect(host.path.runModel(chat(authorization)));
    const code = 'view_unconfirmed';
    expect(errorOf(events)).toMatchObject({code, run: 'not_run'});
  });

  it('ends a stream whose key is withdrawn, and cancels the run', async () => {
    const engine = await startEngine({answerTokens: 5000});
    const {host, authorization} = createDeployment([engine], []);
    const request = chat(authorization, {maximumTokens: 5000});
    const events = [];
    for await (const event of host.path.runModel(request)) {
      events.push(event);
      if (events.length !== 4) continue;
      const [keyId] = host.authority.current.keys.keys();
      host.authority.apply({kind: 'withdraw_key', keyId: keyId!});
      host.path.checkOpenRequests();
    }
    const code = 'invalid_api_key';
    expect(errorOf(events)).toMatchObject({code, run: 'unknown'});
    expect(events.filter(event => event.kind === 'failed')).toHaveLength(1);
  });
});

describe('callService', () => {
  it('relays the response and does not forward the API key', async () => {
    const service = await startService();
    const {host, authorization} = createDeployment([], [service]);
    const response = await host.path.callService(
      serviceCall(authorization, {
        method: 'POST',
        path: '/orders?sample=1',
        headers: {
          authorization,
          'x-api-key': authorization,
          cookie: 'session=1',
          connection: 'close, x-hop',
          'x-hop': '1',
          'content-type': 'text/plain',
          'x-kept': 'yes',
        },
        body: Buffer.from('two sheets'),
      }),
    );
    if (!response.ok) throw new Error(response.error.message);
    expect(response.value.status).toBe(200);
    const body = await readBody(response.value.body);
    expect(JSON.parse(body)).toMatchObject({body: 'two sheets'});
    expect(host.path.activeRequests()).toBe(0);
    const [run] = service.runs;
    expect(run).toMatchObject({method: 'POST', path: '/orders?sample=1'});
    expect(run!.headers).toMatchObject({'x-kept': 'yes'});
    for (const name of ['authorization', 'x-api-key', 'cookie', 'x-hop']) {
      expect(run!.headers).not.toHaveProperty(name);
    }
    expect(host.reservations).toEqual([{tokens: 1, used: 1}]);
  });

  it('retries a repeatable call on another endpoint after a refused connection', async () => {
    const services = [await startService(), await startService()];
    const {host, authorization} = createDeployment([], services, {
      random: () => 0,
    });
    await services[0]!.server.stop();
    const response = await host.path.callService(serviceCall(authorization));
    expect(response.ok).toBe(true);
    expect(host.observed).toEqual(['refused service-1', 'succeeded service-2']);
    expect(services[1]!.runs).toHaveLength(1);
  });
});

describe('listModels', () => {
  it('lists what the contract allows', () => {
    const {host, authorization} = createDeployment([], []);
    const names = host.path.listModels(authorization);
    expect(names).toEqual({ok: true, value: ['model-1']});
  });
});
