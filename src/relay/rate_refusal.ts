import type {TeamConfiguration} from '../deployment/mod.ts';
import {
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
} from '../errors/mod.ts';
import {costOf} from './_cost_of.ts';
import {notRunError} from './_not_run_error.ts';
import type {RequestMetadata} from './request_metadata.ts';

/**
 * Refuses a request for which its team has no rate left.
 *
 * @param waitFor Returns 0 if the team's rate covers a cost, else the milliseconds until
 *     it does.
 */
export function rateRefusal(
  team: TeamConfiguration,
  metadata: Pick<RequestMetadata, 'tokens'>,
  waitFor: (team: TeamConfiguration, cost: number) => number,
): RequestError | undefined {
  const cost = costOf(team, metadata);
  const wait = waitFor(team, cost);
  if (wait <= 0) return undefined;
  return notRunError(
    REQUEST_ERROR_CODES.rateLimited,
    REQUEST_STEPS.admit,
    `Team "${team.name}" is over its rate; the request costs ${cost}`,
    wait,
  );
}
