import {type ClientRequest, request as httpRequest} from 'node:http';
import {afterEach, describe, expect, test} from 'vitest';
import {EntryFleet} from '../testing/entry_fleet.ts';
import {
  PLATFORM_KEY,
  platformConfiguration,
} from '../testing/platform_deployment.ts';
import type {
  EndpointTrouble,
  PlatformEndpointStandIn,
} from '../testing/platform_endpoint_stand_in.ts';

/** Two connections from the only host, after its reserve. */
const CONNECTION_LIMIT = 3;

interface Step {
  name: string;
  trouble: EndpointTrouble;
  model: string;
  /** Requests that use the connections of the endpoint before. */
  earlierRequests: number;
  /** Whether the request reaches the endpoint before its caller leaves. */
  reachesEndpoint: boolean;
}

const STEPS: Step[] = [
  {
    name: 'it waits for a model',
    trouble: 'none',
    model: 'model-c',
    earlierRequests: 0,
    reachesEndpoint: false,
  },
  {
    name: 'it waits for a free connection',
    trouble: 'hangs',
    model: 'model-a',
    earlierRequests: 2,
    reachesEndpoint: false,
  },
  {
    name: 'it waits for the head of the response',
    trouble: 'hangs',
    model: 'model-a',
    earlierRequests: 0,
    reachesEndpoint: true,
  },
  {
    name: 'its stream pauses',
    trouble: 'stalls',
    model: 'model-a',
    earlierRequests: 0,
    reachesEndpoint: true,
  },
  {
    name: 'it does not read its stream',
    trouble: 'floods',
    model: 'model-a',
    earlierRequests: 0,
    reachesEndpoint: true,
  },
];

const CASES = STEPS.flatMap(step =>
  (['closes', 'resets'] as const).map(leaves => ({...step, leaves})),
);

let fleet: EntryFleet;
let callers: ClientRequest[] = [];

afterEach(async () => {
  for (const caller of callers) caller.destroy();
  callers = [];
  await fleet.stop();
});

describe('a caller that leaves', () => {
  // Guards against endpoints that work for callers that have left.
  test.each(CASES)(
    '$leaves its connection while $name',
    async ({trouble, model, earlierRequests, reachesEndpoint, leaves}) => {
      fleet = await EntryFleet.start(
        platformConfiguration({connectionLimit: CONNECTION_LIMIT}),
      );
      const engine = await fleet.startEndpoint({
        id: 'engine-1',
        service: 'engines',
        models: ['model-a'],
        loadMilliseconds: 300,
      });
      const {callerPort} = await fleet.startHost('host-1');
      engine.trouble = trouble;
      for (let index = 0; index < earlierRequests; index++)
        open(callerPort, `earlier-${index}`, model);
      await expect.poll(() => engine.requestsUnderWay).toBe(earlierRequests);
      const request = open(callerPort, 'leaves', model);
      await reach(engine, earlierRequests, reachesEndpoint);
      if (leaves === 'closes') request.destroy();
      else request.socket?.resetAndDestroy();
      await fleet.waitForLines('host-1', 'callerLeft', 1);
      await expect.poll(() => engine.requestsUnderWay).toBe(earlierRequests);
      engine.trouble = 'none';
      engine.answerHanging();
      await expect.poll(() => engine.requestsUnderWay).toBe(0);
      // Longer than the load for which the first case waits.
      await new Promise(resolve => setTimeout(resolve, 400));
      const expected = earlierRequests + (reachesEndpoint ? 1 : 0);
      expect(engine.arrivals.length).toBe(expected);
    },
  );
});

/** Waits until the request has got as far as it can. */
async function reach(
  engine: PlatformEndpointStandIn,
  earlierRequests: number,
  reachesEndpoint: boolean,
): Promise<void> {
  if (reachesEndpoint)
    await expect.poll(() => engine.requestsUnderWay).toBe(earlierRequests + 1);
  else await new Promise(resolve => setTimeout(resolve, 100));
}

/** Sends a request whose response is never read. */
function open(port: number, id: string, model: string): ClientRequest {
  const request = httpRequest({
    host: '127.0.0.1',
    port,
    method: 'POST',
    path: '/chat/x',
    headers: {
      Host: 'api.example',
      'Request-Id': id,
      'X-Api-Key': PLATFORM_KEY,
      Model: model,
    },
  });
  request.on('error', () => undefined);
  request.on('response', response => response.pause());
  request.end('opaque');
  callers.push(request);
  return request;
}
