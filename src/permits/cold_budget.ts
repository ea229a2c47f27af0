/** Terms of {@link coldBudget}. */
export interface ColdTerms {
  /** Requests a second that a cold endpoint takes; more than 0. */
  readonly requestsPerSecond: number;
  /** Factor by which the requests of one second may exceed that number. */
  readonly overrun: number;
  /** Requests by which they may exceed it further. */
  readonly slack: number;
}

/** How the hosts divide the requests that a cold endpoint may get in a second. */
export interface ColdBudget {
  /** Requests in any one second that all hosts together must not exceed. */
  readonly limit: number;
  /** Permits a second that the granter issues. */
  readonly grantedPerSecond: number;
  /** Permits that the granter may issue at once after a pause; at least 1. */
  readonly accumulated: number;
  /** Requests a second that all hosts together send without asking the granter. */
  readonly sharedPerSecond: number;
}

/**
 * Part of the limit for requests without a permit of the granter. Hosts that are cut off
 * from it send these in the same second in which it grants to the others. A quarter leaves
 * the granter the whole rate on the example deployment: 14 + 6.5 of 26.
 */
const SHARED_PART = 0.25;

/**
 * Part of the rest that may accumulate. The other half covers permits that are used up to
 * 250 ms late: a quarter of a second at 14 requests a second is 3.5 requests.
 */
const ACCUMULATED_PART = 0.5;

/** Smallest part of the limit that is granted, also where a single permit exceeds it. */
const MINIMUM_GRANTED_PART = 0.5;

/**
 * Divides the requests that a cold endpoint may get in any one second, so that hosts with
 * and without a granter stay within the limit together. Handles the seconds after a
 * restart, in which all hosts send to few engines and may disagree on who grants.
 */
export function coldBudget(terms: ColdTerms): ColdBudget {
  const {requestsPerSecond, overrun, slack} = terms;
  const limit = requestsPerSecond * overrun + slack;
  const sharedPerSecond = Math.min(requestsPerSecond, limit * SHARED_PART);
  const spare = limit - requestsPerSecond - sharedPerSecond;
  const accumulated = Math.max(
    1,
    Math.floor(Math.min(requestsPerSecond, spare * ACCUMULATED_PART)),
  );
  return {
    limit,
    grantedPerSecond: Math.min(
      requestsPerSecond,
      Math.max(
        limit * MINIMUM_GRANTED_PART,
        limit - sharedPerSecond - accumulated,
      ),
    ),
    accumulated,
    sharedPerSecond,
  };
}
