import {afterEach, beforeEach, expect, test} from 'vitest';
import {EntryFleet, type FleetHost} from '../testing/entry_fleet.ts';
import {send} from '../testing/platform_caller.ts';
import {platformConfiguration} from '../testing/platform_deployment.ts';

let fleet: EntryFleet;

beforeEach(async () => {
  fleet = await EntryFleet.start();
});

afterEach(() => fleet.stop());

function startHost(): Promise<FleetHost> {
  return fleet.startHost('host-1', {isFirstStart: false});
}

// A faulty endpoint sent its rejection of an earlier request once more on the same
// connection. The caller of the next request was told that it had not run.
test('a rejection without an id on a used connection promises nothing', async () => {
  const endpoint = await fleet.startEndpoint({id: 'plain-1', service: 'plain'});
  const host = await startHost();
  endpoint.trouble = 'repeats_unnamed_rejection';
  const first = await send(host.callerPort, {path: '/order/1'});
  expect(first.status).toBe(503);
  const second = await send(host.callerPort, {
    path: '/order/2',
    headers: {'Request-Id': 'request-2'},
  });
  expect(endpoint.ran.length).toBe(1);
  expect(second.status).toBe(502);
});

// Guards against an order that runs and is said not to have run, or runs twice: a
// connection that a busy agent hands over is used, though it was never idle.
test('a rejection without an id on a connection that was handed over promises nothing', async () => {
  fleet.store.put('op', 'config', platformConfiguration({connectionLimit: 2}));
  const endpoint = await fleet.startEndpoint({id: 'plain-1', service: 'plain'});
  const host = await startHost();
  endpoint.trouble = 'repeats_unnamed_rejection';
  const paths = ['/order/1', '/order/2', '/order/3', '/order/4'];
  const answers = await Promise.all(
    paths.map(path => send(host.callerPort, {path})),
  );
  const ran = endpoint.ran.map(({path}) => path);
  expect(new Set(ran).size).toBe(ran.length);
  const promised = paths.filter((_, index) => answers[index]?.status === 503);
  expect(promised).toHaveLength(1);
  expect(ran).not.toContain(promised[0]);
  expect(answers.map(({status}) => status)).toContain(502);
});

// An engine that rejects a request gets it again, with the same id. Its earlier
// rejection must not be taken for the answer to the second dispatch, which runs.
test('a request goes to the same engine again on another connection', async () => {
  const engine = await fleet.startEndpoint({
    id: 'engine-1',
    service: 'engines',
    models: ['model-a'],
  });
  const host = await startHost();
  engine.trouble = 'repeats_rejection';
  const answer = await send(host.callerPort, {
    path: '/chat/1',
    headers: {Model: 'model-a'},
  });
  expect(engine.ran.length).toBe(1);
  expect(answer.status).toBe(200);
});
