import {afterEach, expect, test} from 'vitest';
import {EntryFleet} from '../testing/entry_fleet.ts';
import {send} from '../testing/platform_caller.ts';
import {platformConfiguration} from '../testing/platform_deployment.ts';

let fleet: EntryFleet;

afterEach(() => fleet.stop());

/** Interval between two requests through one host. */
const INTERVAL_MILLISECONDS = 20;

const REQUESTS_PER_HOST = 120;

/** Time from the endpoint's row on for which it is cold. */
const COLD_MILLISECONDS = 3000;

const CASES = [
  {
    name: 'gets no more than its limit in any second',
    terms: {cold_start_s: COLD_MILLISECONDS / 1000, cold_per_s: 14},
    inOneSecond: {minimum: 10, maximum: 26},
  },
  {
    name: 'of a service without a cold phase gets all requests',
    terms: {},
    inOneSecond: undefined,
  },
];

// Guards the wiring: the row, the settings and the permits of two hosts.
test.each(CASES)('a cold endpoint $name', async ({terms, inOneSecond}) => {
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
  endpoint.coldMilliseconds = COLD_MILLISECONDS;
  const registeredAt = performance.now();
  endpoint.register();
  if ('cold_start_s' in terms) {
    await fleet.waitForLines('host-1', 'endpointCold', 1);
    await fleet.waitForLines('host-2', 'endpointCold', 1);
  }
  const counts: number[] = [];
  const answers: Promise<unknown>[] = [];
  for (let request = 0; request < REQUESTS_PER_HOST; request++) {
    for (const {callerPort} of hosts)
      answers.push(send(callerPort, {path: '/look/x'}));
    await new Promise(resolve => setTimeout(resolve, INTERVAL_MILLISECONDS));
    counts.push(endpoint.arrivals.length);
  }
  await Promise.all(answers);
  if (inOneSecond === undefined) {
    expect(endpoint.arrivals.length).toBe(answers.length);
    return;
  }
  // On a busy machine, the last requests are sent after the end of the cold phase.
  const arrivals = endpoint.arrivals.filter(
    at => at - registeredAt < COLD_MILLISECONDS,
  );
  const mostInOneSecond = Math.max(
    ...arrivals.map(
      (first, index) =>
        arrivals.slice(index).filter(at => at - first < 1000).length,
    ),
  );
  expect(mostInOneSecond).toBeLessThanOrEqual(inOneSecond.maximum);
  const requestsInOneSecond = 1000 / INTERVAL_MILLISECONDS;
  const mostWhileSending = Math.max(
    ...counts.map(
      (count, index) => count - (counts[index - requestsInOneSecond] ?? 0),
    ),
  );
  expect(mostWhileSending).toBeGreaterThanOrEqual(inOneSecond.minimum);
});
