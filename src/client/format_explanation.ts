import type {AdmissionFigures, EndpointExplanation} from '../engines/mod.ts';
import type {RequestExplanation, RequestOutcome} from '../entry/mod.ts';
import {unreachable} from '../errors/mod.ts';

const HEADINGS = [
  'endpoint',
  'data centre',
  'cost',
  'occupancy',
  'requests/slots',
  'failure rate',
  'limit/s',
  'pause',
  'use',
] as const;

/** Formats an explanation for an operator, one line for each endpoint. */
export function formatExplanation(explanation: RequestExplanation): string {
  const {route, service, target, team, priority, targets} = explanation;
  const lines = [
    `host ${explanation.host} (${explanation.dataCentre}), configuration ${explanation.configurationVersion}, balancing ${explanation.balancing}, admission ${explanation.admission}`,
    `route ${route}, service ${service}, model ${target ?? '-'}, team ${team ?? '-'}, priority ${priority}`,
  ];
  if (targets.length > 1) {
    const shares = targets.map(
      entry => `${entry.service} ${percent(entry.share)}`,
    );
    lines.push(`services of the route: ${shares.join(', ')}`);
  }
  if (explanation.isTrial)
    lines.push('the request would test a suspected part of its prompt');
  lines.push(describeOutcome(explanation.outcome), '');
  return [...lines, ...formatTable(explanation.candidates)].join('\n');
}

function describeOutcome(outcome: RequestOutcome): string {
  switch (outcome.kind) {
    case 'sent': {
      const {permitWaitMilliseconds} = outcome;
      const permit =
        permitWaitMilliseconds === undefined
          ? ''
          : permitWaitMilliseconds === 0
            ? '; the endpoint is cold, so it goes to another one if no permit is free'
            : `; the endpoint limits its requests, so it may wait ${time(permitWaitMilliseconds)} for a permit`;
      return `would be sent to ${outcome.endpoint}${permit}${figures(outcome.admission)}`;
    }
    case 'waits_for_replica': {
      const {expectedMilliseconds, longestMilliseconds} = outcome;
      const expected =
        expectedMilliseconds === undefined
          ? 'when one is ready is not known yet'
          : `one is expected in ${time(expectedMilliseconds)}`;
      return `would wait: no engine that takes requests has the model; ${expected}; it waits at most ${time(longestMilliseconds)}`;
    }
    case 'waits_for_room':
      return `would wait for room at the engines, at most ${time(outcome.longestMilliseconds)}${figures(outcome.admission)}`;
    case 'waits_for_trial':
      return 'would wait: another request tests a suspected part of its prompt';
    case 'refused': {
      const {code, message, step, retryAfterMilliseconds} = outcome.error;
      const retry =
        retryAfterMilliseconds === undefined
          ? ''
          : `; retry after ${time(retryAfterMilliseconds)}`;
      const reason = outcome.reason === undefined ? '' : ` (${outcome.reason})`;
      return `would be refused at the step ${step}: ${code}${reason}: ${message}${retry}${figures(outcome.admission)}`;
    }
    default:
      return unreachable(outcome);
  }
}

function figures(admission: AdmissionFigures | undefined): string {
  if (admission === undefined) return '';
  const {level, levelNeeded, ahead, expectedWaitMilliseconds} = admission;
  return `; admission level ${level.toFixed(2)}, above ${levelNeeded.toFixed(2)} needed, ${ahead} requests ahead, expected wait ${time(expectedWaitMilliseconds)}`;
}

function formatTable(candidates: readonly EndpointExplanation[]): string[] {
  if (candidates.length === 0) return ['the service has no endpoints'];
  const rows = [HEADINGS, ...candidates.map(cellsOf)];
  const widths = HEADINGS.map((_, column) =>
    Math.max(...rows.map(row => row[column]?.length ?? 0)),
  );
  return rows.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}

function cellsOf(candidate: EndpointExplanation): readonly string[] {
  const {closedMilliseconds, excluded, pausedMilliseconds} = candidate;
  const pause = Math.max(closedMilliseconds, pausedMilliseconds);
  return [
    candidate.endpoint,
    candidate.dataCentre,
    candidate.cost.toFixed(3),
    candidate.occupancy.toFixed(2),
    `${candidate.requests}/${candidate.slots}`,
    candidate.failureRate.toFixed(2),
    limitOf(candidate),
    pause === 0 ? '-' : time(pause),
    excluded === undefined
      ? percent(candidate.probability)
      : `no: ${excluded.replaceAll('_', ' ')}`,
  ];
}

function limitOf({
  coldMilliseconds,
  limitPerSecond,
}: EndpointExplanation): string {
  if (limitPerSecond === undefined) return '-';
  return coldMilliseconds === 0
    ? String(limitPerSecond)
    : `${limitPerSecond} (cold for ${time(coldMilliseconds)})`;
}

function percent(share: number): string {
  return `${(share * 100).toFixed(1)} %`;
}

/** The last digits of such times mean nothing. */
function time(milliseconds: number): string {
  return milliseconds < 1000
    ? `${Math.round(milliseconds)} ms`
    : `${(milliseconds / 1000).toFixed(1)} s`;
}
