import {got} from 'got';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {LocalDeployment} from '../testing/local_deployment.ts';
import type {Host} from './mod.ts';

const OPTIONS = {throwHttpErrors: false, retry: {limit: 0}} as const;

let deployment: LocalDeployment;
let hosts: Host[];
let secret: string;
let keyId: string;

beforeEach(async () => {
  deployment = await LocalDeployment.start();
  hosts = [];
  for (const hostId of ['host-1', 'host-2', 'host-3']) {
    hosts.push(await deployment.startHost(hostId));
  }
  await deployment.putEndpoints(hosts[0]!);
  await deployment.putModel(hosts[0]!, 'veneer-assistant');
  ({secret, keyId} = await deployment.putContract(hosts[0]!, 'workshop', [
    'veneer-assistant',
  ]));
});

afterEach(() => deployment.stop());

function sendChat(host: Host, stream = false) {
  return got.post(`${host.addresses.callers}/v1/chat/completions`, {
    ...OPTIONS,
    headers: {authorization: `Bearer ${secret}`},
    json: {
      model: 'veneer-assistant',
      max_tokens: 8,
      stream,
      messages: [{role: 'user', content: 'Which species'}],
    },
  });
}

function sendOrder(host: Host, idempotencyKey?: string) {
  return got.post(`${host.addresses.callers}/services/catalogue/orders`, {
    ...OPTIONS,
    headers: {
      authorization: `Bearer ${secret}`,
      cookie: 'session=1',
      ...(idempotencyKey === undefined
        ? {}
        : {'idempotency-key': idempotencyKey}),
    },
    body: 'walnut burl',
  });
}

test('concurrent first requests on all hosts share one model load and complete', async () => {
  const answers = await Promise.all(hosts.map(host => sendChat(host)));
  for (const answer of answers) {
    expect(answer.statusCode).toBe(200);
    const {usage} = JSON.parse(answer.body) as {
      usage: {completion_tokens: number};
    };
    expect(usage.completion_tokens).toBe(8);
  }
  const loads = deployment.engines.flatMap(engine =>
    engine.ordersObeyed.filter(({kind}) => kind === 'load_model'),
  );
  expect(loads.length).toBe(1);
});

test('keys and cookies of callers are not forwarded to endpoints', async () => {
  const answer = await sendOrder(hosts[0]!);
  expect(answer.statusCode).toBe(200);
  const runs = deployment.services.flatMap(service => service.runs);
  expect(runs.length).toBe(1);
  expect(JSON.stringify(runs)).not.toContain(secret);
  expect(JSON.stringify(runs)).not.toContain('session=1');
});

test('every host rejects a withdrawn key and an ended contract', async () => {
  await deployment.change(hosts[1]!, {kind: 'withdraw_key', keyId});
  for (const host of hosts) {
    await expect.poll(async () => (await sendChat(host)).statusCode).toBe(401);
  }
  ({secret} = await deployment.putContract(hosts[0]!, 'workshop', [
    'veneer-assistant',
  ]));
  await expect
    .poll(async () => (await sendChat(hosts[2]!)).statusCode)
    .toBe(200);
  await deployment.change(hosts[2]!, {kind: 'end_contract', team: 'workshop'});
  for (const host of hosts) {
    await expect.poll(async () => (await sendChat(host)).statusCode).toBe(403);
  }
});

test('during a table outage requests succeed and changes are rejected', async () => {
  expect((await sendChat(hosts[0]!)).statusCode).toBe(200);
  deployment.table.server.faults = {
    ...deployment.table.server.faults,
    down: true,
  };
  await new Promise(resolve => setTimeout(resolve, 2500));
  for (const host of hosts) expect((await sendChat(host)).statusCode).toBe(200);
  const refused = await hosts[0]!.submit('change-outage', 'operator', {
    kind: 'withdraw_key',
    keyId,
  });
  expect(refused.kind).toBe('unavailable');
  expect((await sendChat(hosts[0]!)).statusCode).toBe(200);
  deployment.table.server.faults = {
    ...deployment.table.server.faults,
    down: false,
  };
  await deployment.change(hosts[0]!, {kind: 'withdraw_key', keyId});
  for (const host of hosts) {
    await expect.poll(async () => (await sendChat(host)).statusCode).toBe(401);
  }
});

describe('a draining host', () => {
  test('completes open streams and is not listed in address look-ups', async () => {
    const draining = hosts[2]!;
    await sendChat(draining);
    const open = sendChat(draining, true);
    const drained = draining.drain();
    const lookUp = await got(
      `${draining.addresses.callers}/v1/addresses`,
    ).json<{
      addresses: {host: string}[];
    }>();
    expect(lookUp.addresses.map(({host}) => host)).not.toContain('host-3');
    expect((await open).body).toContain('[DONE]');
    await drained;
    for (const host of hosts.slice(0, 2)) {
      expect((await sendChat(host)).statusCode).toBe(200);
    }
  });

  test('releases its leases to other hosts', async () => {
    await sendChat(hosts[0]!);
    await hosts[0]!.drain();
    for (const host of hosts.slice(1)) {
      await expect
        .poll(async () => (await sendChat(host)).statusCode, {
          timeout: 15_000,
        })
        .toBe(200);
    }
  });
});
