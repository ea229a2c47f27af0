import {expect, test} from 'vitest';
import {failure} from '../errors/mod.ts';
import {Endpoint} from '../fleet/mod.ts';
import {engineRecord} from '../testing/managed_pool.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {requestFor, serviceWith} from '../testing/routed_requests.ts';
import type {AttemptContext} from './_attempt_context.ts';
import {AttemptLoop} from './_attempt_loop.ts';
import {CrashEvidence, type RequestRelayOptions} from './mod.ts';

const ENDPOINT = new Endpoint(engineRecord({}), 1);
const REFUSAL = {code: 'no_replica', message: '', step: 'place'} as const;

// Guards against requests to an endpoint that was evacuated while they waited for the
// trial of a part of their prompt, between the choice and the send.
test('a request is not sent to an endpoint that was evacuated since its choice', async () => {
  const clock = new ManualClock();
  let acquired = 0;
  let ended = 0;
  const run = {
    recordBegun: () => undefined,
    recordBroken: async () => undefined,
    end: () => void ended++,
  };
  const options: Partial<RequestRelayOptions> = {
    clock,
    crashGuard: {allows: () => true, recordCrash: () => undefined},
    retryBudget: {recordRequest: () => undefined, tryConsume: () => false},
    promptParts: {
      waitForTurn: async () => ({kind: 'unrestricted'}),
      begin: async () => run,
    },
    endpoints: {
      acquire: async () =>
        acquired++ === 0
          ? {ok: true, value: ENDPOINT}
          : failure({...REFUSAL, run: 'not_run'}),
      isEvacuated: () => true,
      noteResponse: () => undefined,
      noteRefused: () => undefined,
      noteUnreachable: () => undefined,
    },
  };
  const context: Partial<AttemptContext> = {
    request: requestFor(serviceWith(['model-a']), 0),
    fingerprint: '',
    callerLeft: new AbortController().signal,
    hostStops: new AbortController().signal,
    log: {waitedMilliseconds: 0} as AttemptContext['log'],
  };
  const loop = new AttemptLoop(
    options as RequestRelayOptions,
    context as AttemptContext,
  );
  // An attempt to send would fail for lack of the other options.
  expect(await loop.run()).toMatchObject(REFUSAL);
  expect({acquired, ended}).toEqual({acquired: 2, ended: 1});
});

// Guards against connections to an evacuated endpoint that only check whether it has
// ended. A newer process under its id still shows that it has.
test.each([
  {isEvacuated: false, isReplaced: false, hasCrashed: true, connections: 1},
  {isEvacuated: true, isReplaced: false, hasCrashed: false, connections: 0},
  {isEvacuated: true, isReplaced: true, hasCrashed: true, connections: 0},
])(
  'evacuated: $isEvacuated, replaced: $isReplaced: $connections checks',
  async ({isEvacuated, isReplaced, hasCrashed, connections}) => {
    const clock = new ManualClock();
    let opened = 0;
    const evidence = new CrashEvidence({
      clock,
      isEvacuated: () => isEvacuated,
      isReplaced: () => isReplaced,
      isConnectionRefused: async () => ++opened > 0,
    });
    const outcome = evidence.hasCrashed(ENDPOINT);
    await clock.advanceAsync(100);
    expect(await outcome).toBe(hasCrashed);
    expect(opened).toBe(connections);
  },
);
