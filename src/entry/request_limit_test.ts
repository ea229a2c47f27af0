import {afterEach, beforeEach, expect, test} from 'vitest';
import {EntryFleet, type FleetHost} from '../testing/entry_fleet.ts';
import {send} from '../testing/platform_caller.ts';
import type {PlatformEndpointStandIn} from '../testing/platform_endpoint_stand_in.ts';

const WINDOW_MILLISECONDS = 4000;

/** Requests a second that the endpoint takes from all hosts together. */
const LIMIT = 2;

let fleet: EntryFleet;
let endpoint: PlatformEndpointStandIn;
let hosts: FleetHost[];

beforeEach(async () => {
  fleet = await EntryFleet.start();
  endpoint = await fleet.startEndpoint({id: 'plain-1', service: 'plain'});
  hosts = [];
  for (const hostId of ['host-1', 'host-2', 'host-3']) {
    hosts.push(await fleet.startHost(hostId, {isFirstStart: false}));
  }
});

afterEach(() => fleet.stop());

/** Largest number of requests that arrived within any window. */
function mostInWindow(arrivals: readonly number[]): number {
  return Math.max(
    ...arrivals.map(
      start =>
        arrivals.filter(at => at >= start && at < start + WINDOW_MILLISECONDS)
          .length,
    ),
  );
}

// An endpoint in need named the requests a second that it takes, and got what the
// callers sent: each host knew at most its own part.
test('an endpoint gets no more requests than it takes from all hosts', async () => {
  endpoint.notices = {'Server-Limit': String(LIMIT)};
  for (const {callerPort} of hosts) {
    await send(callerPort, {path: '/look/first'});
  }
  await new Promise(resolve => setTimeout(resolve, 500));
  endpoint.arrivals.length = 0;
  const answers: ReturnType<typeof send>[] = [];
  for (let round = 0; round < 45; round++) {
    for (const {callerPort} of hosts) {
      answers.push(send(callerPort, {path: `/look/${round}`}));
    }
    await new Promise(resolve => setTimeout(resolve, 100));
  }
  const statuses = new Set<number>();
  for (const {status, headers} of await Promise.all(answers)) {
    statuses.add(status);
    if (status === 503)
      expect(Number(headers['retry-after'])).toBeGreaterThan(0);
  }
  expect([...statuses].sort()).toEqual([200, 503]);
  const allowed = 1.5 * LIMIT * (WINDOW_MILLISECONDS / 1000) + 5;
  expect(mostInWindow(endpoint.arrivals)).toBeLessThanOrEqual(allowed);
  // What the endpoint takes is offered to it.
  expect(endpoint.arrivals.length).toBeGreaterThanOrEqual(LIMIT * 3);
}, 20_000);
