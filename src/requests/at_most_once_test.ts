import {afterEach, describe, expect, it} from 'vitest';
import {ManualClock, MemoryTable, type ServiceStandIn} from '../testing/mod.ts';
import {
  chat,
  collect,
  createDeployment,
  errorOf,
  serviceCall,
  startEngine,
  startService,
  stopServers,
  TestHost,
  textOf,
} from '../testing/request_host.ts';
import {claimKey} from './claim_row.ts';
import type {RequestPathOptions} from './request_path_options.ts';
import type {ServiceResponse} from './service_request.ts';

afterEach(stopServers);

const ORDER = {method: 'POST', path: '/orders', idempotencyKey: 'order-1'};

/** Clients that never send anything, as on a host that dies before dispatch. */
const UNRESPONSIVE_CLIENTS: RequestPathOptions['clients'] = {
  engine: () => {
    throw new Error('There are no engines');
  },
  service: () => ({
    call: () => new Promise(() => {}),
    probe: () => new Promise(() => {}),
    close: () => {},
  }),
};

async function readBody(response: ServiceResponse): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of response.body) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

/** Creates hosts that share an authority and a table. */
function createHosts(service: ServiceStandIn, count: number) {
  const {host, authorization} = createDeployment([], [service]);
  const hosts = [host];
  for (let number = 2; number <= count; number++) {
    hosts.push(
      new TestHost({
        hostId: `host-${number}`,
        shared: host.authority,
        memoryTable: host.table,
      }),
    );
  }
  return {hosts, authorization};
}

/** Retries while the request is in progress; throws on any other error. */
async function callUntilAnswered(host: TestHost, authorization: string) {
  for (let attempt = 0; attempt < 100; attempt++) {
    const response = await host.path.callService(
      serviceCall(authorization, ORDER),
    );
    if (response.ok) return readBody(response.value);
    if (response.error.code !== 'request_in_progress') {
      throw new Error(response.error.code);
    }
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  throw new Error('No answer');
}

describe('idempotency keys of services', () => {
  it('runs 50 concurrent copies on several hosts once', async () => {
    const service = await startService({callMilliseconds: 20});
    const {hosts, authorization} = createHosts(service, 5);
    const answers = await Promise.all(
      Array.from({length: 50}, (_unused, index) =>
        callUntilAnswered(hosts[index % hosts.length]!, authorization),
      ),
    );
    expect(service.runs).toHaveLength(1);
    expect(new Set(answers).size).toBe(1);
    expect(hosts.map(host => host.path.activeRequests())).toEqual(
      hosts.map(() => 0),
    );
  });

  it('refuses a reused key with a different body', async () => {
    const service = await startService();
    const {hosts, authorization} = createHosts(service, 2);
    await callUntilAnswered(hosts[0]!, authorization);
    const body = Buffer.from('another order');
    const second = await hosts[1]!.path.callService(
      serviceCall(authorization, {...ORDER, body}),
    );
    const error = {code: 'idempotency_conflict', run: 'not_run'};
    expect(second).toMatchObject({ok: false, error});
    expect(service.runs).toHaveLength(1);
  });

  it('separates the keys of different teams', async () => {
    const service = await startService();
    const {hosts, authorization} = createHosts(service, 1);
    const other = hosts[0]!.authority.addTeam('joinery', [], ['orders']);
    await callUntilAnswered(hosts[0]!, authorization);
    await callUntilAnswered(hosts[0]!, other);
    expect(service.runs).toHaveLength(2);
  });

  it('refuses before any run while the table is down', async () => {
    const service = await startService();
    const {hosts, authorization} = createHosts(service, 1);
    hosts[0]!.table.down = true;
    const response = await hosts[0]!.path.callService(
      serviceCall(authorization, ORDER),
    );
    const error = {code: 'table_unavailable', run: 'not_run', step: 'claim'};
    expect(response).toMatchObject({ok: false, error});
    expect(service.runs).toHaveLength(0);
    const stock = await hosts[0]!.path.callService(serviceCall(authorization));
    expect(stock.ok).toBe(true);
  });

  it('runs once when responses of the table are lost', async () => {
    const service = await startService();
    const {hosts, authorization} = createHosts(service, 2);
    let commits = 0;
    hosts[0]!.table.losesAnswer = () => commits++ % 2 === 0;
    await callUntilAnswered(hosts[0]!, authorization);
    await callUntilAnswered(hosts[1]!, authorization);
    expect(service.runs).toHaveLength(1);
  });

  it('lets a repeat run after an error with run state not_run', async () => {
    const service = await startService();
    const {hosts, authorization} = createHosts(service, 2);
    await service.server.stop();
    const first = await hosts[0]!.path.callService(
      serviceCall(authorization, ORDER),
    );
    expect(first).toMatchObject({ok: false, error: {run: 'not_run'}});
    await service.server.start();
    await callUntilAnswered(hosts[1]!, authorization);
    expect(service.runs).toHaveLength(1);
  });

  it('returns outcome_unknown after the response of the endpoint was lost', async () => {
    const service = await startService({random: () => 0});
    service.server.faults = {...service.server.faults, loseAnswers: 0.5};
    const {hosts, authorization} = createHosts(service, 2);
    const first = await hosts[0]!.path.callService(
      serviceCall(authorization, ORDER),
    );
    const failed = {code: 'endpoint_failed', run: 'unknown'};
    expect(first).toMatchObject({ok: false, error: failed});
    await expect(callUntilAnswered(hosts[1]!, authorization)).rejects.toThrow(
      'outcome_unknown',
    );
    expect(service.runs).toHaveLength(1);
  });

  it('stores the response when the caller has disconnected', async () => {
    const service = await startService({callMilliseconds: 30});
    const {hosts, authorization} = createHosts(service, 2);
    const caller = new AbortController();
    const first = hosts[0]!.path.callService(
      serviceCall(authorization, {...ORDER, signal: caller.signal}),
    );
    while (service.runs.length === 0) {
      await new Promise(resolve => setTimeout(resolve, 1));
    }
    caller.abort();
    await first;
    await callUntilAnswered(hosts[1]!, authorization);
    expect(service.runs).toHaveLength(1);
    expect(hosts[0]!.path.activeRequests()).toBe(0);
  });

  it('returns outcome_unknown when the response was too large to store', async () => {
    const service = await startService();
    const {host, authorization} = createDeployment([], [service], {
      maximumOutcomeBytes: 10,
    });
    const first = await host.path.callService(
      serviceCall(authorization, ORDER),
    );
    if (!first.ok) throw new Error(first.error.code);
    expect(await readBody(first.value)).toContain('service');
    await new Promise(resolve => setTimeout(resolve, 20));
    const second = await host.path.callService(
      serviceCall(authorization, ORDER),
    );
    const error = {code: 'outcome_unknown'};
    expect(second).toMatchObject({ok: false, error});
    expect(service.runs).toHaveLength(1);
  });
});

describe('a host that dies', () => {
  it.each([
    {when: 'between claim and dispatch', dispatched: false},
    {when: 'after dispatch', dispatched: true},
  ])('leaves an unknown outcome $when', async ({dispatched}) => {
    const service = await startService({callMilliseconds: 60_000});
    const {host, authorization} = createDeployment([], [service], {
      ...(dispatched ? {} : {clients: UNRESPONSIVE_CLIENTS}),
    });
    void host.path.callService(serviceCall(authorization, ORDER));
    await new Promise(resolve => setTimeout(resolve, 50));
    expect(service.runs).toHaveLength(dispatched ? 1 : 0);
    const successor = new TestHost({
      incarnation: 'b',
      shared: host.authority,
      memoryTable: host.table,
    });
    const other = new TestHost({
      hostId: 'host-2',
      shared: host.authority,
      memoryTable: host.table,
      hasHostProcessEnded: hostId => hostId === 'host-1',
    });
    for (const {path} of [successor, other]) {
      const repeat = await path.callService(serviceCall(authorization, ORDER));
      const error = {code: 'outcome_unknown', run: 'unknown'};
      expect(repeat).toMatchObject({ok: false, error});
    }
    expect(service.runs).toHaveLength(dispatched ? 1 : 0);
  });
});

describe('idempotency keys of models', () => {
  it('replays the tokens without another run', async () => {
    const engine = await startEngine();
    const {host, authorization} = createDeployment([engine], []);
    const request = () => chat(authorization, {idempotencyKey: 'quote-1'});
    const first = await collect(host.path.runModel(request()));
    await new Promise(resolve => setTimeout(resolve, 20));
    const second = await collect(host.path.runModel(request()));
    expect(textOf(second)).toBe(textOf(first));
    expect(second.at(-1)).toEqual(first.at(-1));
    expect(engine.runsStarted).toHaveLength(1);
    expect(host.reservations.map(({used}) => used)).toEqual([19, 0]);
  });

  it('does not start a second run when the engine dies', async () => {
    const engines = [
      await startEngine({crashOn: 'fatal'}),
      await startEngine({crashOn: 'fatal'}),
    ];
    const {host, authorization} = createDeployment(engines, []);
    const events = await collect(
      host.path.runModel(
        chat(authorization, {idempotencyKey: 'quote-1', input: 'fatal'}),
      ),
    );
    expect(errorOf(events)).toMatchObject({run: 'unknown'});
    const runs = engines.flatMap(engine => engine.runsStarted);
    expect(runs).toHaveLength(1);
  });
});

describe('expired claims', () => {
  it.each([
    {name: 'stay while they may be needed', days: 0.9, removed: 0},
    {name: 'are removed after the retention', days: 1.1, removed: 3},
  ])('$name', async ({days, removed}) => {
    const clock = new ManualClock();
    const table = new MemoryTable();
    const {host} = createDeployment([], [], {clock, memoryTable: table});
    for (let number = 0; number < 3; number++) {
      const expiresAt = new Date(clock.now().getTime() + 86_400_000);
      table.put(claimKey('workshop', `key-${number}`), {
        state: 'answered',
        bodyDigest: '',
        requestId: 'request-1',
        hostId: 'host-1',
        incarnation: 'a',
        runsUntil: expiresAt.toISOString(),
        expiresAt: expiresAt.toISOString(),
        answer: null,
      });
    }
    clock.advance(days * 86_400_000);
    const removing = host.path.removeExpiredClaims();
    await clock.advanceAsync(10_000);
    expect(await removing).toBe(removed);
  });
});
