import {describe, expect, test} from 'vitest';
import type {EngineClient} from '../endpoints/mod.ts';
import type {EventFields} from '../observability/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {
  chat,
  collect,
  createDeployment,
  errorOf,
  serviceCall,
  type TestHostOptions,
} from '../testing/request_host.ts';
import type {ModelEvent, ModelRequest} from './mod.ts';

// Guards against a request that is lost at the end of a drain without a trace
// in the log.
test('open requests are logged with their id, step, run state and age', async () => {
  const clock = new ManualClock();
  const logged: EventFields[] = [];
  const {host, authorization} = createDeployment([], [], {
    clock,
    logger: {event: (name, fields) => logged.push({name, ...fields})},
  });
  const request = chat(authorization);
  const events = host.path.runModel(request);
  await events.next();
  const waiting = events.next();
  await clock.advanceAsync(250);
  host.path.logOpenRequests();
  expect(logged).toEqual([
    {
      name: 'requestOpenAtStop',
      requestId: request.requestId,
      step: 'place',
      run: 'not_run',
      ageMilliseconds: 250,
    },
  ]);
  await clock.advanceAsync(request.timeoutMilliseconds);
  await waiting;
});

/** Engine whose runs produce no token until they are cancelled. */
const BUSY_ENGINE: Pick<EngineClient, 'run' | 'cancel'> = {
  async *run(_request, signal) {
    await new Promise(resolve => signal.addEventListener('abort', resolve));
    yield {
      kind: 'failed',
      error: {kind: 'cancelled', step: 'receive', peer: 'e', reason: ''},
    };
  },
  cancel: async () => ({ok: true, value: undefined}),
};

const WITH_BUSY_ENGINE: TestHostOptions = {
  engines: new Map([['engine-1', {loadedNames: ['model-1']}]]),
  clients: {
    engine: () => BUSY_ENGINE as EngineClient,
    service: () => {
      throw new Error('There are no services');
    },
  },
};

function createHost(options: TestHostOptions = {}) {
  const clock = new ManualClock();
  const {host, authorization} = createDeployment([], [], {clock, ...options});
  host.authority.addEndpoint('engine-1', 'models', 'http://127.0.0.1:1');
  return {clock, host, authorization};
}

/** Collects the events of a request; undefined until it has ended. */
function start(events: AsyncIterable<ModelEvent>) {
  const result: {events: ModelEvent[] | undefined} = {events: undefined};
  void collect(events).then(all => {
    result.events = all;
  });
  return result;
}

describe('once a draining host has stopped to dispatch', () => {
  const HOST_DRAINING = {
    code: 'host_draining',
    run: 'not_run',
    retryAfterMilliseconds: 1000,
  };

  // Guards against an accepted request that waits beyond the end of the drain
  // and whose connection is closed without a response.
  const waits: {
    step: string;
    options?: TestHostOptions;
    request?: Partial<ModelRequest>;
  }[] = [
    {
      step: 'authenticate',
      options: {
        view: {
          confirmedUntil: () => 0,
          isConfirmed: () => false,
          waitUntilConfirmed: signal =>
            new Promise(resolve =>
              signal?.addEventListener('abort', () => resolve()),
            ),
        },
      },
    },
    {
      step: 'reserve',
      options: {
        tokens: {
          reserve: ({signal}) =>
            new Promise(resolve =>
              signal.addEventListener('abort', () =>
                resolve({
                  ok: false,
                  error: {
                    code: 'rate_limit_exceeded',
                    message: 'Cancelled',
                    step: 'reserve',
                    run: 'not_run',
                  },
                }),
              ),
            ),
        },
      },
    },
    {
      step: 'claim',
      options: {writer: {write: () => new Promise(() => undefined)}},
      request: {idempotencyKey: 'key-1'},
    },
    {step: 'place'},
  ];
  test.each(waits)(
    'a request that waits at step $step is refused as not run',
    async ({step, options, request}) => {
      const {clock, host, authorization} = createHost(options);
      const waiting = start(
        host.path.runModel(chat(authorization, request ?? {})),
      );
      await clock.advanceAsync(500);
      expect(waiting.events).toBeUndefined();
      host.path.stopDispatching();
      await clock.advanceAsync(10);
      expect(errorOf(waiting.events ?? [])).toMatchObject({
        ...HOST_DRAINING,
        step,
      });
      expect(host.path.activeRequests()).toBe(0);
    },
  );

  // Guards against a request that waits for admission beyond the end of the
  // drain, and against a refusal of the request that an engine runs.
  test('a request that waits for admission is refused and a running one goes on', async () => {
    const {clock, host, authorization} = createHost({
      ...WITH_BUSY_ENGINE,
      maximumConcurrentRuns: 1,
    });
    const running = start(host.path.runModel(chat(authorization)));
    const waiting = start(host.path.runModel(chat(authorization)));
    await clock.advanceAsync(500);
    host.path.stopDispatching();
    await clock.advanceAsync(10);
    expect(errorOf(waiting.events ?? [])).toMatchObject(HOST_DRAINING);
    expect(running.events).toBeUndefined();
    expect(host.path.activeRequests()).toBe(1);
  });

  // Guards against a request that arrives on a kept connection at the end of a
  // drain and is accepted although the host cannot finish it.
  test('later requests are refused', async () => {
    const {host, authorization} = createHost();
    host.path.stopDispatching();
    const events = await collect(host.path.runModel(chat(authorization)));
    expect(errorOf(events)).toMatchObject(HOST_DRAINING);
    const call = await host.path.callService(serviceCall(authorization));
    expect(call).toMatchObject({ok: false, error: HOST_DRAINING});
    expect(host.path.activeRequests()).toBe(0);
  });
});
