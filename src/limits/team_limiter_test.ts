import {expect, it} from 'vitest';
import {LimitFleet, ManualClock} from '../testing/mod.ts';

const VIEW_TIMEOUT = 3000;
const REFUSED = 'not_run rate_limit_exceeded';
const contract = {
  team: 'team-1',
  models: [],
  adapters: [],
  services: [],
  tokensPerSecond: 100,
  burstTokens: 1000,
  weight: 1,
  maximumReplicas: 1,
  endsAt: null,
};

/** Creates three hosts, of which host-1 owns the team's bucket. */
async function createFleet() {
  const clock = new ManualClock();
  const fleet = new LimitFleet({
    clock,
    hostCount: 3,
    viewTimeoutMilliseconds: VIEW_TIMEOUT,
    latencyMilliseconds: 1,
  });
  fleet.commit({kind: 'put_contract', contract, expectedRevision: null});
  fleet.grant('team-1', 'host-1');
  await clock.advanceAsync(500);
  /** Starts a request; `outcome` of the result returns its state so far. */
  const request = (
    hostId: string,
    tokens: number,
    waitMilliseconds: number,
  ) => {
    const host = fleet.hosts.get(hostId)!;
    let outcome = 'waiting';
    let settle = (_used: number) => {};
    const controller = new AbortController();
    void host.limiter
      .reserve({
        team: 'team-1',
        tokens,
        deadlineAt: host.peer.clock.monotonicMilliseconds() + waitMilliseconds,
        signal: controller.signal,
      })
      .then(result => {
        outcome = result.ok
          ? `spent ${result.value.tokens}`
          : `${result.error.run} ${result.error.code}`;
        if (result.ok) settle = used => result.value.settle(used);
      });
    return {
      outcome: () => outcome,
      settle: (used: number) => settle(used),
      abort: () => controller.abort(),
    };
  };
  return {clock, fleet, request};
}

type Created = Awaited<ReturnType<typeof createFleet>>;
type Request = ReturnType<Created['request']>;

// Host-1 owns the bucket: 100 tokens per second, burst 1000, full after 10 s.
const CASES: {
  guardsAgainst: string;
  act: (created: Created) => Promise<Request[]>;
  outcomes: string[];
}[] = [
  {
    guardsAgainst: 'a borrower and an owner that both spend the burst',
    act: async ({clock, request}) => {
      const first = request('host-2', 900, 100);
      await clock.advanceAsync(10);
      return [first, request('host-1', 300, 100)];
    },
    outcomes: ['spent 900', REFUSED],
  },
  {
    guardsAgainst:
      'waiting for more tokens than the burst, which never succeeds',
    act: async ({request}) => [request('host-2', 1001, 60_000)],
    outcomes: [REFUSED],
  },
  {
    guardsAgainst: 'refusing a request that can be served before its deadline',
    act: async ({clock, request}) => {
      request('host-1', 1000, 100);
      await clock.advanceAsync(10);
      const waiting = request('host-2', 100, 1500);
      await clock.advanceAsync(1100);
      return [waiting];
    },
    outcomes: ['spent 100'],
  },
  {
    guardsAgainst:
      'queueing a request that cannot be served before its deadline',
    act: async ({clock, request}) => {
      request('host-1', 1000, 100);
      await clock.advanceAsync(10);
      return [request('host-1', 200, 1500), request('host-2', 200, 1500)];
    },
    outcomes: [REFUSED, REFUSED],
  },
  {
    guardsAgainst: 'a small request that overtakes a large one',
    act: async ({clock, request}) => {
      request('host-1', 1000, 100);
      await clock.advanceAsync(10);
      const large = request('host-2', 300, 5000);
      await clock.advanceAsync(10);
      const small = request('host-1', 50, 5000);
      const other = request('host-2', 50, 5000);
      await clock.advanceAsync(2000);
      return [large, small, other];
    },
    outcomes: ['waiting', 'waiting', 'waiting'],
  },
  {
    guardsAgainst: 'losing the unused tokens of a borrower',
    act: async ({clock, request}) => {
      const unused = request('host-2', 1000, 100);
      await clock.advanceAsync(10);
      unused.settle(0);
      await clock.advanceAsync(100);
      const again = request('host-3', 1000, 200);
      await clock.advanceAsync(10);
      return [again];
    },
    outcomes: ['spent 1000'],
  },
  {
    guardsAgainst: 'an idle loan on one host while another host waits',
    act: async ({clock, request}) => {
      for (let index = 0; index < 10; index++) request('host-2', 10, 100);
      await clock.advanceAsync(500);
      const large = request('host-3', 900, 200);
      await clock.advanceAsync(50);
      return [large];
    },
    outcomes: ['spent 900'],
  },
  {
    guardsAgainst: 'a cancelled request that still blocks the others',
    act: async ({clock, request}) => {
      request('host-1', 900, 100);
      await clock.advanceAsync(10);
      const cancelled = request('host-2', 1000, 60_000);
      await clock.advanceAsync(10);
      cancelled.abort();
      await clock.advanceAsync(30);
      const next = request('host-3', 100, 100);
      await clock.advanceAsync(50);
      return [cancelled, next];
    },
    outcomes: [REFUSED, 'spent 100'],
  },
  {
    guardsAgainst: 'spending without a confirmed view',
    act: async ({clock, fleet, request}) => {
      fleet.hosts.get('host-1')!.cutOff = true;
      fleet.hosts.get('host-2')!.cutOff = true;
      await clock.advanceAsync(VIEW_TIMEOUT + 10);
      return [request('host-1', 10, 100), request('host-2', 10, 100)];
    },
    outcomes: ['not_run view_unconfirmed', 'not_run view_unconfirmed'],
  },
  {
    guardsAgainst: 'spending a loan without a confirmed view',
    act: async ({clock, fleet, request}) => {
      fleet.hosts.get('host-2')!.cutOff = true;
      await clock.advanceAsync(VIEW_TIMEOUT - 210);
      // The loan would expire later than the confirmed view.
      request('host-2', 100, 100);
      const large = request('host-2', 1000, 10_000);
      await clock.advanceAsync(300);
      large.abort();
      return [request('host-2', 1, 50)];
    },
    outcomes: ['not_run view_unconfirmed'],
  },
  {
    guardsAgainst: 'serving requests after the end of the contract',
    act: async ({clock, fleet, request}) => {
      const waiting = request('host-2', 1000, 5000);
      const {revision} = fleet.head.contracts.get('team-1')!;
      fleet.commit({
        kind: 'end_contract',
        team: 'team-1',
        expectedRevision: revision,
      });
      await clock.advanceAsync(300);
      return [waiting, request('host-1', 1, 100)];
    },
    outcomes: ['spent 1000', 'not_run contract_ended'],
  },
  {
    guardsAgainst: 'applying a raised rate too late',
    act: async ({clock, fleet, request}) => {
      request('host-1', 1000, 100);
      const {revision} = fleet.head.contracts.get('team-1')!;
      fleet.commit({
        kind: 'put_contract',
        contract: {...contract, tokensPerSecond: 1000},
        expectedRevision: revision,
      });
      await clock.advanceAsync(500);
      const next = request('host-2', 300, 300);
      await clock.advanceAsync(300);
      return [next];
    },
    outcomes: ['spent 300'],
  },
  {
    guardsAgainst: 'no service after the owner terminated in a table outage',
    act: async ({clock, fleet, request}) => {
      fleet.tableUp = false;
      fleet.kill('host-1');
      await clock.advanceAsync(20_000);
      // More than this host's share of a third.
      const next = request('host-2', 500, 2000);
      await clock.advanceAsync(2000);
      return [next];
    },
    outcomes: ['spent 500'],
  },
];

it.each(CASES)('prevents $guardsAgainst', async ({act, outcomes}) => {
  const created = await createFleet();
  await created.clock.advanceAsync(10_000);
  const requests = await act(created);
  // Requests with a deadline of up to 100 ms have an outcome by then.
  await created.clock.advanceAsync(100);
  expect(requests.map(request => request.outcome())).toEqual(outcomes);
});

it('serves an extension before waiting requests', async () => {
  const {clock, fleet, request} = await createFleet();
  await clock.advanceAsync(10_000);
  const {limiter, peer} = fleet.hosts.get('host-2')!;
  const {signal} = new AbortController();
  const deadlineAt = peer.clock.monotonicMilliseconds() + 60_000;
  const reserving = limiter.reserve({
    team: 'team-1',
    tokens: 1000,
    deadlineAt,
    signal,
  });
  await clock.advanceAsync(10);
  const waiting = request('host-1', 500, 60_000);
  const reserved = await reserving;
  if (!reserved.ok) throw new Error(reserved.error.message);
  const extending = reserved.value.extend(200, deadlineAt, signal);
  await clock.advanceAsync(2100);
  expect((await extending).ok).toBe(true);
  expect(reserved.value.tokens).toBe(1200);
  expect(waiting.outcome()).toBe('waiting');
});
