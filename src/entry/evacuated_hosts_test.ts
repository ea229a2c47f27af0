import {afterEach, beforeEach, expect, test} from 'vitest';
import {EntryFleet, type FleetHost} from '../testing/entry_fleet.ts';
import {send} from '../testing/platform_caller.ts';
import type {PlatformEndpointStandIn} from '../testing/platform_endpoint_stand_in.ts';

const HOSTS = ['host-1', 'host-2'];

let fleet: EntryFleet;
let hosts: FleetHost[];
/** A plain service and an engine with `model-a`. */
let inside: PlatformEndpointStandIn[];
/** The same in another data centre; the engine has no model. */
let outside: PlatformEndpointStandIn[];

beforeEach(async () => {
  fleet = await EntryFleet.start();
  const start = (dataCentre: string, models: string[]) =>
    Promise.all([
      fleet.startEndpoint({
        ...{id: `plain-${dataCentre}`, service: 'plain', dataCentre},
      }),
      fleet.startEndpoint({
        ...{id: `engine-${dataCentre}`, service: 'engines', dataCentre, models},
      }),
    ]);
  inside = await start('zone-a', ['model-a']);
  outside = await start('zone-b', []);
  hosts = [];
  for (const id of HOSTS) hosts.push(await fleet.startHost(id));
});

afterEach(() => fleet.stop());

/** Everything that endpoints were sent so far. */
function contacts(endpoints: readonly PlatformEndpointStandIn[]): number {
  return endpoints.reduce(
    (sum, {arrivals, orders, reports}) =>
      sum + arrivals.length + orders.length + reports,
    0,
  );
}

/** Sends requests to both services through each host. */
async function statuses(): Promise<number[]> {
  const found: number[] = [];
  for (const {callerPort} of hosts) {
    for (const path of ['/look/x', '/look/y', '/chat/x']) {
      const isChat = path.startsWith('/chat');
      const answer = await send(callerPort, {
        path,
        ...(isChat ? {method: 'POST', headers: {Model: 'model-a'}} : {}),
      });
      found.push(answer.status);
      if (answer.status === 503)
        expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
    }
  }
  return found;
}

async function waitForAll(event: string, count: number): Promise<void> {
  for (const id of HOSTS) await fleet.waitForLines(id, event, count);
}

const SERVED = Array.from({length: 6}, () => 200);
const REFUSED = Array.from({length: 6}, () => 503);

// Guards against hosts that send anything to an evacuated data centre, do not serve its
// models elsewhere, are no longer ready without endpoints, or do not use it again.
test('hosts leave evacuated data centres and return to them', async () => {
  expect(await statuses()).toEqual(SERVED);
  fleet.store.put('op', 'evacuate/zone-a', {});
  await waitForAll('dataCentreEvacuated', 1);
  const before = contacts(inside);
  expect(await statuses()).toEqual(SERVED);
  expect(outside[1]?.models).toContain('model-a');
  fleet.store.put('op', 'evacuate/zone-b', {});
  await waitForAll('dataCentreEvacuated', 2);
  const beforeAll = contacts(outside);
  expect(await statuses()).toEqual(REFUSED);
  for (const {readinessPort} of hosts) {
    const path = '/limpetdale/readiness';
    expect((await send(readinessPort, {path})).status).toBe(200);
  }
  expect(contacts(inside)).toBe(before);
  expect(contacts(outside)).toBe(beforeAll);
  fleet.store.drop('op', 'evacuate/zone-a');
  await waitForAll('dataCentreReturned', 1);
  expect(await statuses()).toEqual(SERVED);
  expect(contacts(inside)).toBeGreaterThan(before);
  expect(contacts(outside)).toBe(beforeAll);
});
