import fc from 'fast-check';
import {expect, it} from 'vitest';
import {EndpointFailure, type EngineEvent} from '../endpoints/mod.ts';
import {success} from '../errors/mod.ts';
import {
  RequestSimulation,
  type SimulationMutation,
  type SimulationStep,
} from '../testing/request_simulation.ts';
import type {ConnectionFault} from '../testing/simulated_endpoints.ts';
import {
  FUZZ_TIME_LIMIT_MILLISECONDS,
  fuzzParameters,
} from '../testing/fuzz_parameters.ts';

const {seed: SEED, runs: RUNS} = fuzzParameters(3000);

const at = fc.nat({max: 6});
const fault: fc.Arbitrary<ConnectionFault> = fc.oneof(
  fc.constantFrom<ConnectionFault>(
    {kind: 'none'},
    {kind: 'unreachable'},
    {kind: 'lost_before'},
    {kind: 'silent_before'},
    {kind: 'lost_after'},
    {kind: 'arrives_late'},
    {kind: 'crash'},
  ),
  fc.record({
    kind: fc.constantFrom('cut', 'silent', 'gap', 'repeat'),
    at,
  }),
);

const host = fc.nat({max: 1});
const step: fc.Arbitrary<SimulationStep> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('request' as const),
      target: fc.constantFrom('model', 'get', 'post'),
      host,
      key: fc.constantFrom(undefined, 'a', 'b'),
      body: fc.constantFrom(0, 0, 0, 1),
      faults: fc.array(fault, {maxLength: 3}),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      milliseconds: fc.constantFrom(3, 10, 50, 700),
    }),
  },
  fc.record({
    kind: fc.constant('table' as const),
    state: fc.constantFrom('up', 'down', 'losing'),
  }),
  fc.record({kind: fc.constant('leave' as const), request: fc.nat({max: 20})}),
  fc.record({kind: fc.constant('restart' as const), host}),
  fc.record({kind: fc.constant('withdraw' as const)}),
);

interface Tally {
  issued: number;
  answered: number;
}

function fuzz(
  numRuns: number,
  mutation?: SimulationMutation,
  tally: Tally = {issued: 0, answered: 0},
): Promise<void> {
  return fc.assert(
    fc.asyncProperty(fc.array(step, {maxLength: 20}), async steps => {
      const simulation = new RequestSimulation(mutation);
      await simulation.run(steps);
      const violations = simulation.violations();
      const {issued, answered} = simulation.tally();
      tally.issued += issued;
      tally.answered += answered;
      if (violations.length > 0) throw new Error(violations.join('; '));
    }),
    // Mutations need only be detected, so shrinking is skipped.
    {
      seed: SEED,
      numRuns,
      endOnFailure: mutation !== undefined,
      includeErrorInReport: true,
    },
  );
}

it(
  'keeps the rules of the request path whatever fails',
  async () => {
    const tally = {issued: 0, answered: 0};
    await fuzz(RUNS, undefined, tally);
    // A request path that refuses everything would not violate any rule.
    expect(tally.answered / tally.issued).toBeGreaterThan(0.3);
  },
  FUZZ_TIME_LIMIT_MILLISECONDS,
);

/** Faults that each break one rule, to verify that the fuzz test detects them. */
const MUTATIONS: Record<string, {rule: RegExp; mutation: SimulationMutation}> =
  {
    'claims that are always granted': {
      rule: /ran \d+ times/,
      mutation: () => ({
        writer: {
          write: async () => ({kind: 'committed', alreadyCommitted: false}),
        },
      }),
    },
    'requests that are said not to have been sent': {
      rule: /says not_run and ran/,
      mutation: ({clients}) => ({
        maximumAttempts: 1,
        clients: {
          ...clients,
          service: endpoint => {
            const client = clients.service(endpoint);
            return {
              ...client,
              call: async (call, signal) => {
                const answer = await client.call(call, signal);
                if (answer.ok || answer.error.kind !== 'broken') return answer;
                const error = {
                  ...answer.error,
                  kind: 'unreachable' as const,
                  refused: true,
                };
                return {ok: false, error};
              },
            };
          },
        },
      }),
    },
    'gaps between tokens that are hidden': {
      rule: /was answered with/,
      mutation: ({clients}) => ({
        clients: {
          ...clients,
          engine: endpoint => {
            const client = clients.engine(endpoint);
            return {
              ...client,
              run: (request, signal, options) =>
                hideGaps(
                  client.run(request, signal, options),
                  request.resumeFrom,
                ),
            };
          },
        },
      }),
    },
    'bodies that end early without an error': {
      rule: /was answered with/,
      mutation: ({clients}) => ({
        clients: {
          ...clients,
          service: endpoint => {
            const client = clients.service(endpoint);
            return {
              ...client,
              call: async (call, signal) => {
                const answer = await client.call(call, signal);
                if (!answer.ok) return answer;
                const body = hideTruncation(answer.value.body);
                return success({...answer.value, body});
              },
            };
          },
        },
      }),
    },
    'waits that never end': {
      rule: /has 0 endings/,
      mutation: () => ({tokens: {reserve: () => new Promise(() => {})}}),
    },
  };

it.each(Object.entries(MUTATIONS))(
  'detects %s',
  async (_name, {rule, mutation}) => {
    await expect(fuzz(1000, mutation)).rejects.toThrow(rule);
  },
  120_000,
);

async function* hideGaps(
  events: AsyncIterable<EngineEvent>,
  first: number,
): AsyncGenerator<EngineEvent, void, undefined> {
  let index = first;
  for await (const event of events) {
    switch (event.kind) {
      case 'token':
        yield {...event, index: index++};
        break;
      case 'end':
        yield {...event, completionTokens: index};
        break;
      default:
        yield event;
    }
  }
}

async function* hideTruncation(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<Uint8Array, void, undefined> {
  try {
    yield* body;
  } catch (error) {
    if (!(error instanceof EndpointFailure)) throw error;
  }
}
