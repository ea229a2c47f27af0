import {type RequestError, RUN_STATES} from '../errors/mod.ts';

/** Error for a request that exceeds the rate limit of its team. */
export function rateLimited(
  message: string,
  retryAfterMilliseconds?: number,
): RequestError {
  return {
    code: 'rate_limit_exceeded',
    message,
    step: 'reserve',
    run: RUN_STATES.notRun,
    ...(retryAfterMilliseconds === undefined
      ? {}
      : {
          retryAfterMilliseconds: Math.max(
            1,
            Math.ceil(retryAfterMilliseconds),
          ),
        }),
  };
}

/** Error for a request of a team without a contract in force. */
export function contractEnded(team: string): RequestError {
  return {
    code: 'contract_ended',
    message: `Team "${team}" has no contract in force`,
    step: 'reserve',
    run: RUN_STATES.notRun,
  };
}

/**
 * Error for a request on a host whose view of the configuration is not
 * confirmed.
 */
export function viewUnconfirmed(retryAfterMilliseconds: number): RequestError {
  return {
    code: 'view_unconfirmed',
    message: 'This host cannot confirm that its configuration is current',
    step: 'reserve',
    run: RUN_STATES.notRun,
    retryAfterMilliseconds,
  };
}

/** Error for a request on a host that is shutting down. */
export function hostDraining(): RequestError {
  return {
    code: 'host_draining',
    message: 'This host is shutting down',
    step: 'reserve',
    run: RUN_STATES.notRun,
  };
}
