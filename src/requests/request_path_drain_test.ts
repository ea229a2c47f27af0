import {expect, test} from 'vitest';
import type {EventFields} from '../observability/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {chat, createDeployment} from '../testing/request_host.ts';

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
      name: 'requestOpenAtDrainEnd',
      requestId: request.requestId,
      step: 'place',
      run: 'not_run',
      ageMilliseconds: 250,
    },
  ]);
  await clock.advanceAsync(request.timeoutMilliseconds);
  await waiting;
});
