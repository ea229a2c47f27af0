import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import type {EntrySettings} from './mod.ts';
import {EntryFleet} from '../testing/entry_fleet.ts';
import {send} from '../testing/platform_caller.ts';
import type {PlatformEndpointStandIn} from '../testing/platform_endpoint_stand_in.ts';

/** Time to the first event of each run. */
const FIRST_EVENT_MILLISECONDS = 800;

/**
 * Duration of a load, which begins with the host. It ends 1.5 s after the request for the
 * model has arrived, whose caller leaves after two seconds without an event.
 */
const LOAD_MILLISECONDS = 3900;

/** Groups of runs from which a host learns how long first events take. */
const EARLIER_GROUPS = 3;

/** Requests of a group, as many as the engine has slots. */
const GROUP_REQUESTS = 4;

/** Far longer than callers wait for the first event. */
const DEADLINE_MILLISECONDS = '20000';

interface Admission {
  admission: EntrySettings['admission'];
}

const ADMISSIONS: Admission[] = [
  {admission: 'immediate'},
  {admission: 'ordered'},
];

let fleet: EntryFleet;
let engine: PlatformEndpointStandIn;

beforeEach(async () => {
  fleet = await EntryFleet.start();
  engine = await fleet.startEndpoint({
    id: 'engine-1',
    service: 'engines',
    models: ['model-a'],
    loadMilliseconds: LOAD_MILLISECONDS,
  });
});

afterEach(() => fleet.stop());

function chat(port: number, id: string, model: string) {
  return send(port, {
    method: 'POST',
    path: '/chat/x',
    headers: {
      'Request-Id': id,
      Model: model,
      'Deadline-Ms': DEADLINE_MILLISECONDS,
    },
  });
}

describe('a stream whose caller waits less than its first event takes', () => {
  // Guards against work for callers that have left: a stream that had waited for its
  // model was sent just before its caller's patience ended, long before its deadline.
  test.each(ADMISSIONS)('is refused in time: $admission', async settings => {
    const {callerPort} = await fleet.startHost('host-1', settings);
    engine.runMilliseconds = FIRST_EVENT_MILLISECONDS;
    for (let group = 0; group < EARLIER_GROUPS; group++) {
      const answers = await Promise.all(
        Array.from({length: GROUP_REQUESTS}, (_unused, index) =>
          chat(callerPort, `earlier-${group}-${index}`, 'model-a'),
        ),
      );
      expect(answers.every(({status}) => status === 200)).toBe(true);
    }
    const answer = await chat(callerPort, 'waits', 'model-b');
    expect(answer.status).toBe(503);
    expect(answer.headers['retry-after']).toBeDefined();
    expect(engine.ran.length).toBe(EARLIER_GROUPS * GROUP_REQUESTS);
  });
});
