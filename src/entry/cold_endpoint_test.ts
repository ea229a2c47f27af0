import {afterEach, expect, test} from 'vitest';
import {EntryFleet} from '../testing/entry_fleet.ts';
import {send} from '../testing/platform_caller.ts';
import {platformConfiguration} from '../testing/platform_deployment.ts';

let fleet: EntryFleet;

afterEach(() => fleet.stop());

const SAMPLE_MILLISECONDS = 20;

const CASES = [
  {
    name: 'gets no more than its limit in any second',
    terms: {cold_start_s: 3, cold_per_s: 14},
    expected: {minimum: 10, maximum: 26},
  },
  {
    name: 'of a service without a cold phase gets all requests',
    terms: {},
    expected: {minimum: 60, maximum: 200},
  },
];

// Guards the wiring: the row, the settings and the permits of two hosts.
test.each(CASES)('a cold endpoint $name', async ({terms, expected}) => {
  const configuration = platformConfiguration();
  const services = configuration.services.map(service =>
    service.name === 'plain' ? {...service, ...terms} : service,
  );
  fleet = await EntryFleet.start({...configuration, services});
  const endpoint = await fleet.startEndpoint({id: 'plain-1', service: 'plain'});
  const hosts = [
    await fleet.startHost('host-1', {isFirstStart: false}),
    await fleet.startHost('host-2', {isFirstStart: false}),
  ];
  await fleet.waitForLines('host-1', 'peerConnected', 1);
  endpoint.coldMilliseconds = 3000;
  endpoint.register();
  if ('cold_start_s' in terms) {
    await fleet.waitForLines('host-1', 'endpointCold', 1);
    await fleet.waitForLines('host-2', 'endpointCold', 1);
  }
  const counts: number[] = [];
  const answers: Promise<unknown>[] = [];
  for (let sample = 0; sample < 2400 / SAMPLE_MILLISECONDS; sample++) {
    for (const {callerPort} of hosts)
      answers.push(send(callerPort, {path: '/look/x'}));
    await new Promise(resolve => setTimeout(resolve, SAMPLE_MILLISECONDS));
    counts.push(endpoint.arrivals.length);
  }
  const most = Math.max(
    ...counts.map((count, index) => {
      const before = index - 1000 / SAMPLE_MILLISECONDS;
      return count - (counts[before] ?? 0);
    }),
  );
  expect(most).toBeGreaterThanOrEqual(expected.minimum);
  expect(most).toBeLessThanOrEqual(expected.maximum);
  await Promise.all(answers);
});
