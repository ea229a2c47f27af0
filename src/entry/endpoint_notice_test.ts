import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {EntryFleet, type FleetHost} from '../testing/entry_fleet.ts';
import {send} from '../testing/platform_caller.ts';
import type {PlatformEndpointStandIn} from '../testing/platform_endpoint_stand_in.ts';

let fleet: EntryFleet;
let endpoints: PlatformEndpointStandIn[];
let hosts: FleetHost[];

beforeEach(async () => {
  fleet = await EntryFleet.start();
  endpoints = [];
  hosts = [];
});

afterEach(() => fleet.stop());

async function start(options: {endpoints: number; hosts: number}) {
  for (let index = 1; index <= options.endpoints; index++) {
    const id = `plain-${index}`;
    endpoints.push(await fleet.startEndpoint({id, service: 'plain'}));
  }
  for (let index = 1; index <= options.hosts; index++) {
    const host = await fleet.startHost(`host-${index}`, {isFirstStart: false});
    hosts.push(host);
  }
}

/** Sends requests one after the other until the first endpoint has got one. */
async function reachFirst(host: FleetHost): Promise<void> {
  for (let attempt = 0; attempt < 20; attempt++) {
    if ((endpoints[0]?.arrivals.length ?? 0) > 0) return;
    await send(host.callerPort, {path: '/look/first'});
  }
}

/** Statuses of requests that are sent at once. */
async function statuses(host: FleetHost, count: number): Promise<number[]> {
  const answers = await Promise.all(
    Array.from({length: count}, () =>
      send(host.callerPort, {path: '/look/next'}),
    ),
  );
  return answers.map(({status}) => status);
}

interface Case {
  name: string;
  notices: Record<string, string>;
  trouble: 'none' | 'sheds';
}

const CASES: Case[] = [
  {name: 'leaves', notices: {'Server-Leaving': '1'}, trouble: 'none'},
  {
    name: 'leaves and rejects requests',
    notices: {'Server-Leaving': '1'},
    trouble: 'sheds',
  },
  {
    name: 'wants no requests for a while',
    notices: {'Retry-After': '20'},
    trouble: 'sheds',
  },
];

describe('What an endpoint says of itself in a response', () => {
  // Only the rows of the store counted, which a host may not get for a long time, and
  // a rejected request delayed the next one by 400 ms at most.
  test.each(CASES)(
    'keeps requests from one that $name',
    async ({notices, trouble}) => {
      await start({endpoints: 2, hosts: 1});
      const [host] = hosts;
      const [first] = endpoints;
      if (host === undefined || first === undefined) return;
      first.notices = notices;
      first.trouble = trouble;
      await reachFirst(host);
      expect(first.arrivals.length).toBe(1);
      const answered = await statuses(host, 20);
      expect(new Set(answered)).toEqual(new Set([200]));
      expect(first.arrivals.length).toBe(1);
    },
  );

  test('tells the other hosts that it leaves', async () => {
    await start({endpoints: 2, hosts: 2});
    const [host, other] = hosts;
    const [first] = endpoints;
    if (host === undefined || other === undefined || first === undefined)
      return;
    await fleet.waitForLines('host-1', 'peerConnected', 1);
    first.notices = {'Server-Leaving': '1'};
    await reachFirst(host);
    await fleet.waitForLines('host-2', 'endpointLeaving', 1);
    await statuses(other, 10);
    expect(first.arrivals.length).toBe(1);
  });

  // The row of a process expires and returns when the store was away.
  test('holds although its row returns', async () => {
    await start({endpoints: 2, hosts: 1});
    const [host] = hosts;
    const [first] = endpoints;
    if (host === undefined || first === undefined) return;
    first.notices = {'Server-Leaving': '1'};
    await reachFirst(host);
    fleet.store.drop('servers', 'plain-1');
    await fleet.waitForLines('host-1', 'endpointGone', 1);
    first.register();
    await fleet.waitForLines('host-1', 'endpointFound', 3);
    await statuses(host, 10);
    expect(first.arrivals.length).toBe(1);
  });

  // The caller waited for its deadline, or was told to return in half a second.
  test('tells callers when an endpoint wants requests again', async () => {
    await start({endpoints: 1, hosts: 1});
    const [host] = hosts;
    const [only] = endpoints;
    if (host === undefined || only === undefined) return;
    only.notices = {'Retry-After': '20'};
    only.trouble = 'sheds';
    await send(host.callerPort, {path: '/order/first'});
    const refused = await send(host.callerPort, {path: '/order/next'});
    expect(refused.status).toBe(503);
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(15);
    expect(only.arrivals.length).toBe(1);
  });
});
