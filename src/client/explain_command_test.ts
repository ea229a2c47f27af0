import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {handleExplain} from '../entry/explain_api.ts';
import type {
  ExplanationQuery,
  RequestExplanation,
  RequestOutcome,
} from '../entry/mod.ts';
import {failure, type RequestError, success} from '../errors/mod.ts';
import {CLIENT_EXIT_CODES, runOperatorClient} from './mod.ts';

const ENGINE = {
  ...{endpoint: 'a1', dataCentre: 'zone-a', slots: 12, requests: 3},
  ...{occupancy: 0.25, failureRate: 0.1, limitPerSecond: undefined},
  coldMilliseconds: 0,
  ...{pausedMilliseconds: 0, closedMilliseconds: 0, cost: 0.37},
  ...{excluded: undefined, probability: 1},
};

const SENT: RequestOutcome = {
  kind: 'sent',
  endpoint: 'a1',
  permitWaitMilliseconds: undefined,
  admission: undefined,
};

function explanation(outcome: RequestOutcome): RequestExplanation {
  return {
    ...{host: 'host-1', dataCentre: 'zone-a', configurationVersion: 3},
    ...{route: 'chat', service: 'engines', target: 'model-a/a1'},
    ...{targets: [{service: 'engines', share: 1}], team: 'team-1', priority: 2},
    ...{balancing: 'even', admission: 'ordered', isTrial: false, outcome},
    candidates,
  };
}

let server: Server;
let address: string;
let queries: ExplanationQuery[];
let tokens: (string | undefined)[];
let outcome: RequestOutcome;
let candidates: RequestExplanation['candidates'];

beforeEach(async () => {
  queries = [];
  tokens = [];
  outcome = SENT;
  candidates = [
    ENGINE,
    {...ENGINE, endpoint: 'a2', excluded: 'refused_recently'},
  ];
  server = createServer((request, response) => {
    tokens.push(request.headers.authorization);
    handleExplain(request, response, query => {
      queries.push(query);
      return query.path === '/none/'
        ? failure({
            code: 'route_not_found',
            step: 'parse',
            message: 'No route for api.example/none/',
          })
        : success(explanation(outcome));
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

const REQUEST = ['--host-name', 'api.example', '--path', '/chat/x'];

async function run(...commandArguments: string[]) {
  const output: string[] = [];
  const code = await runOperatorClient(['explain', ...commandArguments], {
    write: line => output.push(line),
    writeError: line => output.push(line),
  });
  return {code, text: output.join('\n')};
}

// Guards against arguments that do not reach the host, and a token that is sent to a
// port that needs none.
test('all arguments reach the host', async () => {
  const {code} = await run(
    ...['--host', address, '--token', 'secret', ...REQUEST],
    ...['--model', 'model-a/a1', '--team', 'team-1', '--service', 'engines'],
    ...['--priority', '4', '--tokens', '120', '--deadline-ms', '900'],
    ...['--prompt-part', 'd 1', '--prompt-part', 'd&2'],
  );
  expect(code).toBe(CLIENT_EXIT_CODES.success);
  expect(queries).toEqual([
    {
      hostName: 'api.example',
      path: '/chat/x',
      target: 'model-a/a1',
      team: 'team-1',
      service: 'engines',
      priority: 4,
      tokens: 120,
      deadlineMilliseconds: 900,
      promptParts: ['d 1', 'd&2'],
    },
  ]);
  expect(tokens).toEqual([undefined]);
});

const LEVELS = {level: 0.94, levelNeeded: 1};
const WAIT = {ahead: 2, expectedWaitMilliseconds: 1500};
const ERROR: RequestError = {
  code: 'overloaded',
  ...{step: 'place', run: 'not_run', message: 'No room'},
  retryAfterMilliseconds: 500,
};

const OUTCOMES: [RequestOutcome, RegExp][] = [
  [
    SENT,
    /sent to a1\n[^]*a1 +zone-a +0\.370 +0\.25 +3\/12 +0\.10 +- +- +100\.0 %\na2 .* no: refused recently$/,
  ],
  [{...SENT, permitWaitMilliseconds: 1000}, /may wait 1\.0 s for a permit/],
  [
    {
      kind: 'waits_for_replica',
      ...{expectedMilliseconds: 300, longestMilliseconds: 4600},
    },
    /expected in 300 ms; it waits at most 4\.6 s/,
  ],
  [
    {
      kind: 'waits_for_room',
      ...{admission: {...LEVELS, ...WAIT}, longestMilliseconds: 4600},
    },
    /level 0\.94, above 1\.00 needed, 2 requests ahead, expected wait 1\.5 s/,
  ],
  [
    {kind: 'refused', error: ERROR, reason: 'too_late', admission: undefined},
    /at the step place: overloaded \(too_late\): No room; retry after 500 ms/,
  ],
];

// Guards against outcomes that an operator cannot read.
test.each(OUTCOMES)('an outcome is readable: %j', async (current, text) => {
  outcome = current;
  const result = await run('--host', address, ...REQUEST);
  expect(result.text).toMatch(text);
  expect(result.code).toBe(CLIENT_EXIT_CODES.success);
});

// Guards against an operator who takes the rate of a cold engine for a named limit.
test('a cold engine is shown', async () => {
  const cold = {limitPerSecond: 26, coldMilliseconds: 4200};
  candidates = [{...ENGINE, ...cold, excluded: 'cold'}];
  const {text} = await run('--host', address, ...REQUEST);
  expect(text).toMatch(/0\.10 +26 \(cold for 4\.2 s\) +- +no: cold$/);
  outcome = {...SENT, permitWaitMilliseconds: 0};
  const result = await run('--host', address, ...REQUEST);
  expect(result.text).toMatch(/to another one if no permit is free\n/);
});

const {refused, success: ok, unreachable, usage} = CLIENT_EXIT_CODES;
const CODES: [string[], number, RegExp][] = [
  [['--json'], ok, /"kind": "sent"/],
  [
    ['--path', '/none/'],
    refused,
    /route_not_found at the step parse: No route/,
  ],
  [['--priority', 'high'], refused, /invalid_request at the step parse: "prio/],
  [['--modle', 'model-a'], usage, /unknown option/],
  [['--host', '127.0.0.1:1'], unreachable, /No host answered: .* ECONNREFUSED/],
];

// Guards against exit codes that differ from those of the other commands.
test.each(CODES)('%j exits with %i', async (more, code, text) => {
  const result = await run('--host', address, ...REQUEST, ...more);
  expect(result.text).toMatch(text);
  expect(result.code).toBe(code);
});
