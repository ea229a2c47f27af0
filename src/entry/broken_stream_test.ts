import {afterEach, beforeEach, expect, test} from 'vitest';
import {EntryFleet} from '../testing/entry_fleet.ts';
import {send} from '../testing/platform_caller.ts';
import type {PlatformEndpointStandIn} from '../testing/platform_endpoint_stand_in.ts';
import {type EndpointTrouble} from '../testing/platform_endpoint_stand_in.ts';

let fleet: EntryFleet;

beforeEach(async () => {
  fleet = await EntryFleet.start();
});

afterEach(() => fleet.stop());

interface Case {
  /** How the first engine breaks its stream off. */
  first: EndpointTrouble;
  /** How the next one answers. */
  next: EndpointTrouble;
}

const CASES: Case[] = (
  ['cuts_stream', 'cuts_unframed_stream'] as const
).flatMap(first =>
  (
    ['fails', 'sheds', 'unsigned', 'answers_other', 'loses_answer'] as const
  ).map(next => ({first, next})),
);

// A stream had begun and broke off, and the next engine answered with an error. Its
// text was found in the stream, or the stream ended as if it were complete.
test.each(CASES)(
  'a stream that "$first" and then "$next" ends broken and without an error text',
  async ({first, next}) => {
    const engines: PlatformEndpointStandIn[] = [];
    for (const id of ['engine-1', 'engine-2']) {
      const engine = await fleet.startEndpoint({
        id,
        service: 'engines',
        models: ['model-a'],
      });
      engine.trouble = first;
      engines.push(engine);
    }
    const host = await fleet.startHost('host-1', {isFirstStart: false});
    const answered = send(host.callerPort, {
      path: '/draft/1',
      headers: {Model: 'model-a'},
    });
    // The engine that has not got the request answers the next attempt.
    while (engines.every(({ran}) => ran.length === 0))
      await new Promise(resolve => setTimeout(resolve, 1));
    for (const engine of engines) {
      if (engine.ran.length === 0) engine.trouble = next;
    }
    const {status, body, isBroken} = await answered;
    expect({status, body, isBroken}).toEqual({
      status: 200,
      body: 'id: 1\ndata: event 1\n\n',
      isBroken: true,
    });
  },
);
