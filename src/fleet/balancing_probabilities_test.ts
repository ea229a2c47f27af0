import {expect, test} from 'vitest';
import {simulatedEndpoint} from '../testing/balancing_simulation.ts';
import {balanceEndpoints, balancingProbabilities} from './mod.ts';

interface Case {
  name: string;
  unobserved: number;
  localShare: number;
  affinityKey?: string;
}

const CASES: Case[] = [
  {name: 'no unobserved requests', unobserved: 0, localShare: 0.5},
  {name: 'some unobserved requests', unobserved: 6, localShare: 0.5},
  {name: 'many unobserved requests', unobserved: 60, localShare: 0.8},
  {name: 'no local hosts', unobserved: 60, localShare: 0},
  {name: 'a session', unobserved: 60, localShare: 0.5, affinityKey: 's-1'},
];

/** Points of a grid over both random numbers that a choice takes. */
const STEPS = 300;

// Guards against an explanation whose probabilities are not those of the choices.
test.each(CASES)('probabilities are those of the choices: $name', entry => {
  const endpoints = [0, 1, 2, 3].map(index => simulatedEndpoint(index, 12));
  for (const [index, endpoint] of endpoints.entries()) {
    const dataCentre = index % 2 === 0 ? 'zone-a' : 'zone-b';
    endpoint.record = {...endpoint.record, dataCentre};
    endpoint.peerInFlight = 3 * index;
  }
  const options = {
    ...entry,
    now: 0,
    excluded: new Set<string>(),
    dataCentre: 'zone-a',
    unobservedOfKey: 0,
  };
  const counts = new Map<string, number>();
  for (let draw = 0; draw < STEPS * STEPS; draw++) {
    const numbers = [Math.floor(draw / STEPS), draw % STEPS];
    const random = () => ((numbers.shift() ?? 0) + 0.5) / STEPS;
    const chosen = balanceEndpoints(endpoints, {...options, random});
    const id = chosen?.endpoint.record.id ?? '';
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  const probabilities = balancingProbabilities(endpoints, options);
  for (const endpoint of endpoints) {
    const frequency = (counts.get(endpoint.record.id) ?? 0) / STEPS ** 2;
    expect(probabilities.get(endpoint) ?? 0).toBeCloseTo(frequency, 2);
  }
});
