import {request as httpRequest} from 'node:http';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {EntryFleet, type FleetHost} from '../testing/entry_fleet.ts';
import {send} from '../testing/platform_caller.ts';
import {PLATFORM_KEY} from '../testing/platform_deployment.ts';
import type {PlatformEndpointStandIn} from '../testing/platform_endpoint_stand_in.ts';

const MODEL = 'model-a';

/** Streams of each case, so that a choice by chance shows. */
const STREAMS = 6;

const LAST_EVENTS = 'id: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\n';

let fleet: EntryFleet;
let engines: Map<string, PlatformEndpointStandIn>;

beforeEach(async () => {
  fleet = await EntryFleet.start();
  engines = new Map();
});

afterEach(() => fleet.stop());

/** The host prefers endpoints of its own data centre, `zone-a`. */
async function startEngine(
  softwareVersion: string,
  id = softwareVersion,
  dataCentre = softwareVersion === 'v1' ? 'zone-b' : 'zone-a',
) {
  const engine = await fleet.startEndpoint({
    id: `engine-${id}`,
    service: 'engines',
    models: [MODEL],
    softwareVersion,
    dataCentre,
  });
  engines.set(id, engine);
}

/** Starts a process of the only host, without the memory of the one before. */
function startHost(): Promise<FleetHost> {
  fleet.lines.length = 0;
  return fleet.startHost('host-1', {isFirstStart: false});
}

/** Begins a stream and leaves after its first event. */
function beginStream(port: number, id: string): Promise<void> {
  return new Promise((resolve, reject) => {
    const request = httpRequest({
      host: '127.0.0.1',
      port,
      path: '/draft/x',
      headers: headersOf({'Request-Id': id}),
    });
    request.on('error', reject);
    request.on('response', response => {
      response.once('data', () => {
        request.off('error', reject).on('error', () => undefined);
        request.destroy();
        resolve();
      });
    });
    request.end();
  });
}

function headersOf(headers: Record<string, string>): Record<string, string> {
  return {
    Host: 'api.example',
    'X-Api-Key': PLATFORM_KEY,
    Model: MODEL,
    ...headers,
  };
}

/** How the streams are taken up. */
type Named = 'named' | 'unnamed' | 'misnamed';

const RESUMES: Readonly<Record<Named, (id: string) => Record<string, string>>> =
  {
    named: id => ({Resumes: id}),
    unnamed: () => ({}),
    misnamed: id => ({Resumes: `another-${id}`}),
  };

interface Case {
  name: string;
  /** Versions that serve when the streams begin, the first one at `v1`. */
  before: readonly string[];
  /** What happens between the two tries. */
  between: readonly (
    | 'host restarts'
    | 'v1 leaves'
    | 'v1 is found late'
    | 'v2 starts'
    | 'store away'
  )[];
  named: Named;
  /** Version at which the streams go on; undefined if they are refused. */
  goesOnAt: string | undefined;
}

const CASES: Case[] = [
  {
    name: 'where another version has started since',
    before: ['v1'],
    between: ['v2 starts'],
    named: 'named',
    goesOnAt: 'v1',
  },
  {
    name: 'where two versions serve',
    before: ['v1', 'v2'],
    between: [],
    named: 'named',
    goesOnAt: 'v1',
  },
  {
    name: 'where two versions serve and all hosts were killed',
    before: ['v1', 'v2'],
    between: ['host restarts'],
    named: 'named',
    goesOnAt: 'v1',
  },
  {
    name: 'where another version started while all hosts were down',
    before: ['v1'],
    between: ['host restarts', 'v2 starts'],
    named: 'named',
    goesOnAt: 'v1',
  },
  {
    name: 'where one version serves, after all hosts were killed',
    before: ['v1'],
    between: ['host restarts'],
    named: 'named',
    goesOnAt: 'v1',
  },
  {
    name: 'without a name where one version serves, after all hosts were killed',
    before: ['v1'],
    between: ['host restarts'],
    named: 'unnamed',
    goesOnAt: 'v1',
  },
  {
    name: 'whose version was replaced while all hosts were down',
    before: ['v1'],
    between: ['host restarts', 'v1 leaves', 'v2 starts'],
    named: 'named',
    goesOnAt: undefined,
  },
  {
    // Guards against a host that is out of step and refuses what others can run.
    name: 'whose version the next host learns of later',
    before: ['v1', 'v2'],
    between: ['host restarts', 'v1 is found late'],
    named: 'named',
    goesOnAt: 'v1',
  },
  {
    name: 'whose version has left',
    before: ['v1', 'v2'],
    between: ['v1 leaves'],
    named: 'named',
    goesOnAt: undefined,
  },
  {
    name: 'whose version has left before all hosts were killed',
    before: ['v1', 'v2'],
    between: ['v1 leaves', 'host restarts'],
    named: 'named',
    goesOnAt: undefined,
  },
  {
    name: 'without the name of their first try',
    before: ['v1', 'v2'],
    between: [],
    named: 'unnamed',
    goesOnAt: undefined,
  },
  {
    name: 'under the name of a try that nobody knows',
    before: ['v1', 'v2'],
    between: [],
    named: 'misnamed',
    goesOnAt: undefined,
  },
  {
    name: 'at the host that began them while the store is away',
    before: ['v1', 'v2'],
    between: ['store away'],
    named: 'named',
    goesOnAt: 'v1',
  },
  {
    name: 'by an unknown name while the store is away',
    before: ['v1', 'v2'],
    between: ['store away'],
    named: 'misnamed',
    goesOnAt: undefined,
  },
];

describe('streams that callers take up', () => {
  // Guards against text that is joined from two software versions of a service, with
  // nothing in the answer to show it.
  test.each(CASES)(
    '$name go on at $goesOnAt only',
    async ({before, between, named, goesOnAt}) => {
      for (const version of before) await startEngine(version);
      let host = await startHost();
      // Each stream begins at the first version and stalls after its first event.
      const [first, ...others] = engines.values();
      for (const other of others) other.trouble = 'sheds';
      first!.trouble = 'stalls';
      const ids = Array.from(
        {length: STREAMS},
        (_unused, index) => `r${index}`,
      );
      for (const id of ids) await beginStream(host.callerPort, id);
      const isRestarted = between.includes('host restarts');
      if (isRestarted) await host.host.drain();
      if (between.includes('v1 leaves'))
        await fleet.removeEndpoint(engines.get('v1')!);
      if (between.includes('v2 starts')) await startEngine('v2');
      const isLate = between.includes('v1 is found late');
      if (isLate) fleet.hideEndpoint(engines.get('v1')!);
      if (isRestarted) host = await startHost();
      const isReplaced = between.includes('v2 starts') && !isRestarted;
      if (isReplaced)
        await fleet.waitForLines('host-1', 'endpointFound', engines.size);
      if (between.includes('v1 leaves') && !isRestarted)
        await fleet.waitForLines('host-1', 'endpointGone', 1);
      if (between.includes('store away')) fleet.store.trouble = 'busy';
      for (const engine of engines.values()) engine.trouble = 'none';
      if (isLate) setTimeout(() => fleet.showEndpoint(engines.get('v1')!), 300);
      const answers = [];
      for (const id of ids) {
        answers.push(
          await send(host.callerPort, {
            path: '/draft/x',
            headers: headersOf({
              'Request-Id': `${id}-again`,
              'Last-Event-Id': '1',
              ...RESUMES[named](id),
            }),
          }),
        );
      }
      fleet.store.trouble = 'none';
      const resumedAt = [...engines].flatMap(([version, {ran}]) =>
        ran
          .filter(({headers}) => headers['last-event-id'] !== undefined)
          .map(() => version),
      );
      if (goesOnAt === undefined) {
        expect(answers.map(({status}) => status)).toEqual(ids.map(() => 503));
        expect(resumedAt).toEqual([]);
      } else {
        expect(answers.map(({body}) => body)).toEqual(
          ids.map(() => LAST_EVENTS),
        );
        expect(resumedAt).toEqual(ids.map(() => goesOnAt));
      }
    },
  );
});

describe('a stream that breaks off', () => {
  // Guards against one answer with events of two software versions.
  test.each([
    {others: ['v2'], isBroken: true, resumedAt: []},
    {others: ['v2', 'v1-other'], isBroken: false, resumedAt: ['v1-other']},
  ])(
    'at v1 beside $others is resumed at $resumedAt',
    async ({others, isBroken, resumedAt}) => {
      await startEngine('v1', 'v1', 'zone-a');
      for (const id of others) await startEngine(id.slice(0, 2), id, 'zone-b');
      const {callerPort} = await startHost();
      engines.get('v1')!.trouble = 'cuts_stream';
      const answered = send(callerPort, {
        path: '/draft/x',
        headers: headersOf({'Request-Id': 'r'}),
      });
      expect((await answered).isBroken).toBe(isBroken);
      const ranAgain = others.filter(id => engines.get(id)?.ran.length === 1);
      expect(ranAgain).toEqual(resumedAt);
    },
  );
});
