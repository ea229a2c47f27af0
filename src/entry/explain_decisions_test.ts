import {expect, test} from 'vitest';
import {RouteIndex} from '../deployment/mod.ts';
import type {PlacementExplanation} from '../engines/mod.ts';
import {FleetRateLimiter} from '../limits/mod.ts';
import {Metrics, SILENT_LOGGER} from '../observability/mod.ts';
import {createPlatform} from '../platform/mod.ts';
import {
  DispatchWindow,
  PromptPartQuarantine,
  RunDurations,
} from '../relay/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {platformConfiguration} from '../testing/platform_deployment.ts';
import {explainRequest} from './explain_request.ts';

const PLACEMENT: PlacementExplanation = {
  outcome: {
    kind: 'sent',
    endpoint: 'engine-1',
    permitWaitMilliseconds: undefined,
    admission: undefined,
  },
  candidates: [],
};

function create() {
  const clock = new ManualClock();
  const configuration = createPlatform({
    address: '127.0.0.1:1',
    timeoutMilliseconds: 1,
  }).decodeConfiguration(
    Buffer.from(JSON.stringify(platformConfiguration({rate: 10, burst: 20}))),
  );
  if (configuration === undefined) throw new Error('Unreadable configuration');
  const announced: unknown[] = [];
  const promptParts = new PromptPartQuarantine({
    hostId: 'host-1',
    clock,
    logger: SILENT_LOGGER,
    metrics: new Metrics(),
    hasCrashed: () => Promise.resolve(true),
    announce: (_, change) => announced.push(change),
  });
  const rateLimiter = new FleetRateLimiter({
    clock,
    rateShare: () => 1,
    startsFull: true,
  });
  const [team] = configuration.teams ?? [];
  if (team === undefined) throw new Error('The configuration has no team');
  const routes = new RouteIndex(configuration);
  return {
    announced,
    clock,
    dispatchWindow: new DispatchWindow({
      runs: new RunDurations(clock),
      firstEvents: new RunDurations(clock),
    }),
    promptParts,
    rateLimiter,
    routes: (): RouteIndex | undefined => routes,
    team,
  };
}

type Host = ReturnType<typeof create>;

const PARTS = ['part-1'];

const CRASHED = {
  kind: 'crashed' as const,
  incarnation: 'engine-9/1',
  parts: [{part: 'part-1', hasRun: false}],
};

const TRIAL = {
  kind: 'trial_started' as const,
  host: 'host-2',
  incarnation: 'engine-2/1',
  parts: PARTS,
};

const BLOCKED = {
  ...{kind: 'blocked' as const, parts: PARTS},
  ...{count: 1, milliseconds: 60_000},
};

const refused = (code: string) => ({kind: 'refused', error: {code}});

interface Case {
  name: string;
  prepare?: (host: Host) => unknown;
  outcome: object;
  isTrial?: boolean;
}

const CASES: Case[] = [
  {name: 'a request without trouble', outcome: PLACEMENT.outcome},
  {
    name: 'a suspected part',
    prepare: ({promptParts}) => promptParts.receive('engines', CRASHED),
    outcome: PLACEMENT.outcome,
    isTrial: true,
  },
  {
    name: 'a suspected part that another host tests',
    prepare: ({promptParts}) =>
      [CRASHED, TRIAL].forEach(change =>
        promptParts.receive('engines', change),
      ),
    outcome: {kind: 'waits_for_trial'},
  },
  {
    name: 'a blocked part',
    prepare: ({promptParts}) => promptParts.receive('engines', BLOCKED),
    outcome: refused('request_quarantined'),
  },
  {
    name: 'a team over its rate',
    prepare: ({rateLimiter, team}) => rateLimiter.take(team, 20),
    outcome: refused('rate_limit_exceeded'),
  },
  {
    name: 'a host that stops',
    prepare: ({dispatchWindow}) =>
      dispatchWindow.close({closesAt: 0, runsEndAt: 0}),
    outcome: refused('host_draining'),
  },
];

// Guards against an explanation that leaves out a refusal or a wait before the choice of
// an endpoint, or that starts a trial or spends the team's rate.
test.each(CASES)('$name', entry => {
  const host = create();
  entry.prepare?.(host);
  const preferences: string[] = [];
  const spent = host.rateLimiter.spending();
  const explained = explainRequest(
    {
      hostName: 'api.example',
      path: '/chat/1',
      target: 'model-a',
      team: 'workshop',
      service: undefined,
      priority: undefined,
      tokens: undefined,
      promptParts: PARTS,
      deadlineMilliseconds: undefined,
    },
    {
      ...host,
      hostId: 'host-1',
      dataCentre: 'zone-a',
      balancing: 'least_loaded',
      admission: 'immediate',
      router: {
        explain: (_, preference) => {
          preferences.push(preference);
          return PLACEMENT;
        },
      },
    },
  );
  const isTrial = entry.isTrial ?? false;
  expect(explained).toMatchObject({
    value: {outcome: entry.outcome, isTrial},
  });
  expect(preferences).toEqual([isTrial ? 'least_loaded' : 'affinity']);
  expect(host.announced).toEqual([]);
  expect(host.rateLimiter.spending()).toEqual(spent);
});
