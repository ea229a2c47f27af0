import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {EntryFleet} from '../testing/entry_fleet.ts';
import {send} from '../testing/platform_caller.ts';
import type {PlatformEndpointStandIn} from '../testing/platform_endpoint_stand_in.ts';

/** Time that each run takes. */
const RUN_MILLISECONDS = 1000;

/** Runs from which a host learns how long they take. */
const EARLIER_RUNS = 12;

let fleet: EntryFleet;
let service: PlatformEndpointStandIn;
let callerPort: number;

beforeEach(async () => {
  fleet = await EntryFleet.start();
  service = await fleet.startEndpoint({id: 'plain-1', service: 'plain'});
});

afterEach(() => fleet.stop());

interface Route {
  path: string;
  /** Status without a run; an idempotent request may be tried elsewhere. */
  method: string;
}

const ROUTES: Route[] = [
  {path: '/order/x', method: 'POST'},
  {path: '/look/x', method: 'GET'},
];

function call(route: Route, id: string, deadlineMilliseconds?: number) {
  return send(callerPort, {
    ...route,
    headers: {
      'Request-Id': id,
      ...(deadlineMilliseconds === undefined
        ? {}
        : {'Deadline-Ms': String(deadlineMilliseconds)}),
    },
  });
}

async function learnDurations(route: Route): Promise<void> {
  service.runMilliseconds = RUN_MILLISECONDS;
  const answers = await Promise.all(
    Array.from({length: EARLIER_RUNS}, (_unused, index) =>
      call(route, `earlier-${index}`),
    ),
  );
  expect(answers.map(({status}) => status)).toEqual(answers.map(() => 200));
}

describe('a request that its endpoint could not finish', () => {
  // Guards against requests that are accepted late in a planned stop and cut at its
  // end, among them such as may not be repeated.
  test.each(ROUTES)('before its host stops is refused: $path', async route => {
    const started = await fleet.startHost('host-1', {
      graceSeconds: 2.4,
      addressLifetimeMilliseconds: 1000,
    });
    callerPort = started.callerPort;
    await learnDurations(route);
    const runs = service.ran.length;
    const stopped = started.host.drain();
    const early = call(route, 'early');
    await new Promise(resolve => setTimeout(resolve, 900));
    const late = await call(route, 'late');
    expect(late.status).toBe(503);
    expect(late.headers['retry-after']).toBeDefined();
    expect((await early).status).toBe(200);
    expect(service.ran.length).toBe(runs + 1);
    await stopped;
  });

  // Guards against work in vain: a request that had waited reached its endpoint when
  // less was left of its time than any run takes.
  test.each(ROUTES)('before its deadline is refused: $path', async route => {
    callerPort = (await fleet.startHost('host-1')).callerPort;
    await learnDurations(route);
    const runs = service.ran.length;
    const hopeless = await call(route, 'hopeless', RUN_MILLISECONDS / 2);
    expect(hopeless.status).toBe(503);
    expect(hopeless.headers['retry-after']).toBeDefined();
    expect(service.ran.length).toBe(runs);
    const sound = await call(route, 'sound', RUN_MILLISECONDS * 3);
    expect(sound.status).toBe(200);
  });

  // Guards against streams that are broken off although they could be resumed: the rest
  // of a run takes less time than a whole one.
  test.each([
    {admission: 'immediate' as const},
    {admission: 'ordered' as const},
  ])('is resumed nevertheless if it has begun: $admission', async settings => {
    const engines = [];
    for (const id of ['engine-1', 'engine-2']) {
      const models = ['model-a'];
      engines.push(await fleet.startEndpoint({id, service: 'engines', models}));
    }
    callerPort = (await fleet.startHost('host-1', settings)).callerPort;
    const draft = (id: string, deadlineMilliseconds: number) =>
      send(callerPort, {
        method: 'POST',
        path: '/draft/x',
        headers: {
          'Request-Id': id,
          Model: 'model-a',
          'Deadline-Ms': String(deadlineMilliseconds),
        },
        body: id,
      });
    for (const engine of engines) engine.runMilliseconds = RUN_MILLISECONDS;
    await Promise.all(
      Array.from({length: EARLIER_RUNS}, (_unused, index) =>
        draft(`earlier-${index}`, 3000),
      ),
    );
    for (const engine of engines) {
      engine.runMilliseconds = RUN_MILLISECONDS * 0.4;
      engine.trouble = 'cuts_stream';
      engine.troubles = 0;
    }
    // The endpoint that gets the request first cuts it.
    engines[0]!.troubles = 1;
    let answer = await draft('cut', RUN_MILLISECONDS * 1.2);
    if (engines[0]!.troubles === 1)
      answer = await draft('cut-next', RUN_MILLISECONDS * 1.2);
    await fleet.waitForLines('host-1', 'streamResumed', 1);
    expect(answer).toMatchObject({status: 200, isBroken: false});
    expect(answer.body).toContain('event 3');
  });
});
