import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {EntryFleet} from '../testing/entry_fleet.ts';
import {send} from '../testing/platform_caller.ts';
import type {PlatformEndpointStandIn} from '../testing/platform_endpoint_stand_in.ts';

/** Less than a caller waits for the first event of a stream. */
const GRACE_SECONDS = 2;

/** More than three lifetimes of an address, and one check of the drain. */
const ADDRESSES_EXPIRED_MS = 500;

let fleet: EntryFleet;
let engine: PlatformEndpointStandIn;

beforeEach(async () => {
  fleet = await EntryFleet.start();
  engine = await fleet.startEndpoint({
    id: 'engine-1',
    service: 'engines',
    models: ['model-a'],
    loadMilliseconds: 60_000,
  });
});

afterEach(() => fleet.stop());

describe('a planned stop', () => {
  // Guards against connections that are closed without a response: requests that
  // waited for a model outlasted the grace period of their host.
  test.each([
    {
      name: 'when the stop begins',
      arrivesDuringStop: false,
      graceSeconds: GRACE_SECONDS,
    },
    {
      name: 'and arrives during the stop',
      arrivesDuringStop: true,
      graceSeconds: GRACE_SECONDS,
    },
    {
      name: 'when a stop within 0.9 s begins',
      arrivesDuringStop: false,
      graceSeconds: 0.9,
    },
  ])(
    'refuses a request that waits for a model $name',
    async ({arrivesDuringStop, graceSeconds}) => {
      const {host, callerPort} = await fleet.startHost('host-1', {
        graceSeconds,
      });
      const sendWaiting = () =>
        send(callerPort, {
          method: 'POST',
          path: '/chat/x',
          headers: {Model: 'model-c'},
          body: 'opaque',
        });
      let waiting = arrivesDuringStop ? undefined : sendWaiting();
      if (waiting !== undefined)
        await fleet.waitForLines('host-1', 'loadDecided', 1);
      const stopped = host.drain();
      waiting ??= sendWaiting();
      const response = await waiting;
      expect(response.status).toBe(503);
      expect(response.headers['retry-after']).toBeDefined();
      expect(response.headers['connection']).toBe('close');
      expect(engine.ran.length).toBe(0);
      await stopped;
    },
  );

  // Guards against connections that are closed without a response: a request that an
  // endpoint still ran at the end of the grace period got none.
  test('answers a request that an endpoint does not finish in time', async () => {
    const {host, callerPort} = await fleet.startHost('host-1', {
      graceSeconds: GRACE_SECONDS,
    });
    engine.trouble = 'hangs';
    const running = send(callerPort, {
      method: 'POST',
      path: '/draft/x',
      headers: {Model: 'model-a'},
      body: 'opaque',
    });
    await expect.poll(() => engine.ran.length).toBe(1);
    await host.drain();
    expect((await running).status).toBe(502);
    expect(engine.ran.length).toBe(1);
  });

  test('logs a stream that is cut at the end of the grace period', async () => {
    const {host, callerPort} = await fleet.startHost('host-1', {
      graceSeconds: GRACE_SECONDS,
    });
    engine.trouble = 'stalls';
    const streaming = send(callerPort, {
      method: 'POST',
      path: '/draft/x',
      headers: {Model: 'model-a'},
      body: 'opaque',
    });
    await expect.poll(() => engine.ran.length).toBe(1);
    await host.drain();
    expect(await streaming).toMatchObject({status: 200, isBroken: true});
    const cut = fleet.lines.find(line => line.includes('"requestOpenAtStop"'));
    expect(JSON.parse(cut ?? '{}')).toMatchObject({
      requestId: 'request-1',
      step: 'relay',
    });
  });

  // Guards against streams that are cut because a stopping host accepted them late:
  // it went on accepting after the cached addresses of all callers had expired.
  test('refuses a request once no caller should know its address', async () => {
    const {host, callerPort} = await fleet.startHost('host-1', {
      graceSeconds: 8,
      addressLifetimeMilliseconds: 20,
    });
    const sendChat = () =>
      send(callerPort, {
        method: 'POST',
        path: '/chat/x',
        headers: {Model: 'model-a'},
        body: 'opaque',
      });
    engine.trouble = 'hangs';
    const running = sendChat();
    await expect.poll(() => engine.ran.length).toBe(1);
    const stopped = host.drain();
    await new Promise(resolve => setTimeout(resolve, ADDRESSES_EXPIRED_MS));
    expect((await sendChat()).status).toBe(503);
    expect(engine.ran.length).toBe(1);
    await running;
    await stopped;
  });

  // Guards against streams that are cut because a stopping host sent them once more
  // after the time at which it refuses requests that are not at an endpoint.
  test('refuses a request that an engine rejects too late for another attempt', async () => {
    const other = await fleet.startEndpoint({
      id: 'engine-2',
      service: 'engines',
      models: ['model-a'],
    });
    const engines = [engine, other];
    const {host, callerPort} = await fleet.startHost('host-1', {
      graceSeconds: 8,
      addressLifetimeMilliseconds: 20,
    });
    for (const each of engines) {
      each.trouble = 'sheds';
      each.shedMilliseconds = ADDRESSES_EXPIRED_MS;
    }
    const waiting = send(callerPort, {
      method: 'POST',
      path: '/chat/x',
      headers: {Model: 'model-a'},
      body: 'opaque',
    });
    const idle = () => engines.filter(each => each.requestsUnderWay === 0);
    await expect.poll(() => idle().length).toBe(1);
    for (const each of idle()) each.trouble = 'none';
    const stopped = host.drain();
    const response = await waiting;
    expect(response.status).toBe(503);
    expect(response.headers['retry-after']).toBe('0.05');
    expect(engines.flatMap(({ran}) => ran)).toEqual([]);
    await stopped;
  });
});
