import {balanceEndpoints, chooseEndpoint, type Endpoint} from '../fleet/mod.ts';
import {rendezvousOrder} from '../membership/mod.ts';
import type {
  BalancingStrategy,
  SimulatedChoice,
} from './balancing_simulation.ts';

/** Endpoints of a host that uses a subset of them. */
const SUBSET_SIZE = 6;

/** Strategies that `docs/design/even_load.md` compares. Development only. */
export const BALANCING_STRATEGIES = {
  waterFilling: choice => {
    const {host, engines, random} = choice;
    const {unobserved} = host;
    return balanceEndpoints(engines, {
      ...optionsOf(choice),
      unobserved: unobserved.of(
        '',
        engines.reduce((sum, {peerInFlight}) => sum + peerInFlight, 0),
      ),
      unobservedOfKey:
        choice.session === undefined ? 0 : unobserved.of(choice.session),
      localShare: 0.5,
      random,
    })?.endpoint;
  },
  leastLoaded: choice => chooseEndpoint(choice.engines, optionsOf(choice)),
  roundRobin: takeTurns(),
  random: choice => pickBy(choice, () => 1),
  powerOfTwo: choice => {
    const first = pickBy(choice, () => 1);
    const second = pickBy(choice, endpoint => (endpoint === first ? 0 : 1));
    if (first === undefined || second === undefined) return first;
    return first.occupancy <= second.occupancy ? first : second;
  },
  freeSlots: choice =>
    pickBy(choice, ({occupancy, record}) =>
      Math.max(0.01, (1 - occupancy) * record.slots),
    ),
  subset: choice => {
    const ids = choice.engines.map(({record}) => record.id);
    const own = rendezvousOrder(choice.host.id, ids).slice(0, SUBSET_SIZE);
    const engines = choice.engines.filter(({record}) =>
      own.includes(record.id),
    );
    return chooseEndpoint(engines, optionsOf(choice));
  },
} as const satisfies Record<string, BalancingStrategy>;

function optionsOf({host, excluded, now, session}: SimulatedChoice) {
  const {dataCentre} = host;
  return {
    now,
    excluded,
    dataCentre,
    ...(session === undefined ? {} : {affinityKey: session}),
  };
}

/** Chooses at random in proportion to a weight. */
function pickBy(
  {engines, excluded, random}: SimulatedChoice,
  weightOf: (endpoint: Endpoint) => number,
): Endpoint | undefined {
  const weighted = engines
    .filter(({incarnation}) => !excluded.has(incarnation))
    .map(endpoint => ({endpoint, weight: weightOf(endpoint)}));
  let remaining =
    random() * weighted.reduce((sum, {weight}) => sum + weight, 0);
  return weighted.find(({weight}) => (remaining -= weight) < 0)?.endpoint;
}

/** Each host takes the endpoints in turn, from a place of its own. */
function takeTurns(): BalancingStrategy {
  const next = new WeakMap<SimulatedChoice['host'], number>();
  return ({host, engines, excluded}) => {
    for (let tried = 0; tried < engines.length; tried++) {
      const place = next.get(host) ?? host.index * 7;
      next.set(host, place + 1);
      const endpoint = engines[place % engines.length];
      if (endpoint !== undefined && !excluded.has(endpoint.incarnation))
        return endpoint;
    }
    return undefined;
  };
}
