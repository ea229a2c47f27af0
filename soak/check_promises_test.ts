import {describe, expect, test} from 'vitest';
import {checkPromises, type Promised} from './check_promises.ts';
import type {Disruption, SentRequest, SoakRecords} from './soak_records.ts';

const REQUEST: SentRequest = {
  id: 'r',
  kind: 'order',
  host: 'host-1',
  key: 'key',
  sentAt: 10_000,
  endedAt: 10_100,
  status: 200,
  answeredId: 'r',
  body: 'the whole answer',
  isBroken: false,
  hasTimedOut: false,
};

const UNANSWERED = {status: undefined, isBroken: true, body: ''};

const RECORDS: SoakRecords = {
  requests: [REQUEST],
  runs: new Map([['r', 1]]),
  orders: [],
  disruptions: [],
  withdrawals: new Map(),
};

interface Case {
  name: string;
  request?: Partial<SentRequest>;
  records?: Partial<SoakRecords>;
  broken?: Promised;
}

function disruption(kind: string, target: string | undefined): Disruption {
  return {kind, target, from: 9900, to: 10_050};
}

function orders(...seen: [holder: string, token: number, at: number][]) {
  const ordered = seen.map(([holder, token, at]) => ({
    engine: 'engine/0',
    holder,
    token,
    at,
  }));
  return {orders: ordered};
}

const CASES: Case[] = [
  {
    name: 'a stream that goes on after its first event',
    request: {
      ...{kind: 'draft', resumes: 'first', afterEvent: 1},
      body: 'id: 2\n: v1\ndata: event 2\n\nid: 3\n: v1\ndata: event 3\n\n',
    },
  },
  {
    name: 'a stream that goes on at another software version',
    request: {
      ...{kind: 'draft', resumes: 'first', afterEvent: 1},
      body: 'id: 2\n: v1\ndata: event 2\n\nid: 3\n: v2\ndata: event 3\n\n',
    },
    broken: 'stream_keeps_its_version',
  },
  {
    name: 'a stream that goes on at the wrong event',
    request: {
      ...{kind: 'draft', resumes: 'first', afterEvent: 1},
      body: 'id: 3\n: v1\ndata: event 3\n\n',
    },
    broken: 'answer_is_own_and_whole',
  },

  {name: 'an order that is served'},
  {
    name: 'an order that runs twice',
    records: {runs: new Map([['r', 2]])},
    broken: 'runs_at_most_once',
  },
  {
    name: 'a look-up that runs twice',
    request: {kind: 'look'},
    records: {runs: new Map([['r', 2]])},
  },
  {
    name: 'a refused order that has run',
    request: {status: 503, body: ''},
    broken: 'refusal_is_true',
  },
  {
    name: 'a failed order that has run',
    request: {status: 502, body: ''},
  },
  {
    name: 'the answer of another request',
    request: {answeredId: 'other'},
    broken: 'answer_is_own_and_whole',
  },
  {
    name: 'half of an answer',
    request: {body: 'the whole'},
    broken: 'answer_is_own_and_whole',
  },
  {
    name: 'half of a stream that is cut',
    request: {kind: 'draft', isBroken: true, body: 'id: 1\ndata: event 1\n\n'},
    records: {disruptions: [disruption('cuts_stream', 'endpoint-1')]},
  },
  {
    name: 'a request without an answer',
    request: UNANSWERED,
    broken: 'undisturbed_request_is_answered',
  },
  {
    name: 'a request without an answer in a planned stop',
    request: UNANSWERED,
    records: {disruptions: [disruption('stop', 'host-1')]},
    broken: 'undisturbed_request_is_answered',
  },
  {
    name: 'a request without an answer of a host that is killed',
    request: UNANSWERED,
    records: {disruptions: [disruption('kill', 'host-1')]},
  },
  {
    name: 'a request without an answer that has not run',
    request: UNANSWERED,
    records: {runs: new Map()},
  },
  {
    name: 'a request with a withdrawn key',
    records: {withdrawals: new Map([['key', 7000]])},
    broken: 'withdrawn_key_is_refused',
  },
  {
    name: 'a request with a key that was just withdrawn',
    records: {withdrawals: new Map([['key', 9000]])},
  },
  {
    name: 'a request with a withdrawn key while the store is away',
    records: {
      withdrawals: new Map([['key', 7000]]),
      disruptions: [disruption('busy', undefined)],
    },
  },
  {
    name: 'orders of one holder',
    records: orders(['a', 1, 0], ['a', 1, 10], ['a', 2, 20]),
  },
  {
    name: 'orders of two holders in turn',
    records: orders(['a', 1, 0], ['b', 2, 3000]),
  },
  {
    name: 'orders of two holders too soon',
    records: orders(['a', 1, 0], ['b', 2, 2999]),
    broken: 'one_holder_orders',
  },
  {
    name: 'orders of two holders with one token',
    records: orders(['a', 1, 0], ['b', 1, 4000]),
    broken: 'one_holder_orders',
  },
  {
    name: 'orders with a lower token',
    records: orders(['a', 2, 0], ['a', 1, 4000]),
    broken: 'one_holder_orders',
  },
  {
    name: 'orders of two holders after one that was read late',
    records: {
      ...orders(['a', 1, 10_000], ['b', 2, 12_500]),
      disruptions: [disruption('late_reading', 'soak')],
    },
  },
  {
    name: 'orders with one token after one that was read late',
    records: {
      ...orders(['a', 1, 10_000], ['b', 1, 12_500]),
      disruptions: [disruption('late_reading', 'soak')],
    },
    broken: 'one_holder_orders',
  },
  {
    name: 'orders of a holder that was thawed a moment ago',
    records: {
      ...orders(['b', 2, 8000], ['a', 1, 10_200]),
      disruptions: [disruption('pause', 'a')],
    },
  },
];

describe('the checks of the soak', () => {
  // Guards against a check that can't fail, and against one that blames what is allowed.
  test.each(CASES)('judge $name', ({request, records, broken}) => {
    const violations = checkPromises({
      ...RECORDS,
      requests: [{...REQUEST, ...request}],
      ...records,
    });
    expect(violations.map(({promise}) => promise)).toEqual(
      broken === undefined ? [] : [broken],
    );
  });
});
