import {expect, test} from 'vitest';
import {UnobservedRequests} from '../fleet/mod.ts';
import {createEventLogger, Metrics} from '../observability/mod.ts';
import type {RoutedRequest} from '../relay/mod.ts';
import {simulatedEndpoint} from '../testing/balancing_simulation.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {EndpointBalancer} from './mod.ts';

// Guards against an imbalance that no operator sees, and one that floods the log.
test.each([
  {name: 'twice the mean', busiest: 12, choices: 100, lines: 1},
  {name: 'less than twice the mean', busiest: 7, choices: 100, lines: 0},
])('load of $name is logged at most once', ({busiest, choices, lines}) => {
  const clock = new ManualClock();
  const written: string[] = [];
  const balancer = new EndpointBalancer({
    unobserved: new UnobservedRequests({
      clock,
      activeHosts: () => 10,
      countedAt: () => 0,
    }),
    localShare: () => 1,
    logger: createEventLogger({write: line => written.push(line)}),
    metrics: new Metrics(),
    random: () => 0,
  });
  const endpoints = [0, 1, 2, 3].map(index => simulatedEndpoint(index, 12));
  for (const endpoint of endpoints) endpoint.peerInFlight = 4;
  endpoints[0]!.peerInFlight = busiest;
  const request = {
    service: {name: 'engines'},
    metadata: {model: 'model-a', promptParts: []},
  } as unknown as RoutedRequest;
  for (let count = 0; count < choices; count++) {
    const now = clock.monotonicMilliseconds();
    const options = {now, excluded: new Set<string>(), dataCentre: 'zone-a'};
    expect(balancer.choose(endpoints, request, options)).toBeDefined();
    clock.advance(50);
  }
  expect(written.length).toBe(lines);
});
