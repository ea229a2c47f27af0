import {afterEach, expect, test} from 'vitest';
import {EntryFleet} from '../testing/entry_fleet.ts';
import {freePorts} from '../testing/free_ports.ts';
import {send} from '../testing/platform_caller.ts';

let fleet: EntryFleet;

afterEach(() => fleet.stop());

/** Sends a request to a host and returns a sum of its metrics. */
async function sumAfterRequest(
  callerPort: number,
  metricsPort: number,
  name: string,
): Promise<number> {
  const {status} = await send(callerPort, {path: '/look/1'});
  expect(status).toBe(200);
  const page = await fetch(`http://127.0.0.1:${metricsPort}/metrics`);
  const series = new RegExp(`^${name}(?:\\{.*\\})? (.*)$`, 'gm');
  return [...(await page.text()).matchAll(series)]
    .map(([, value]) => Number(value))
    .reduce((sum, value) => sum + value, 0);
}

// Guards against a setting that has no effect, a host that balances although its
// settings do not request it, and an estimate that gets no rate, hosts or age.
test.each([
  {balancing: 'least_loaded', isEven: false},
  {balancing: 'even', isEven: true},
] as const)('$balancing is in effect', async ({balancing, isEven}) => {
  fleet = await EntryFleet.start();
  for (const id of ['plain-1', 'plain-2'])
    await fleet.startEndpoint({id, service: 'plain'});
  const [metricsPort = 0] = await freePorts(1);
  const overrides = {balancing, isFirstStart: false};
  const host = await fleet.startHost('host-1', {...overrides, metricsPort});
  await fleet.startHost('host-2', overrides);
  await fleet.waitForLines('host-1', 'peerConnected', 1);
  const sum = (name: string) =>
    sumAfterRequest(host.callerPort, metricsPort, name);
  if (isEven) {
    await expect
      .poll(() => sum('limpetdale_unobserved_requests_sum'))
      .toBeGreaterThan(0);
  }
  expect((await sum('limpetdale_endpoint_choices_total')) > 0).toBe(isEven);
});
