/** Steps of request processing, in order. */
export const REQUEST_STEPS = {
  parse: 'parse',
  authenticate: 'authenticate',
  admit: 'admit',
  reserve: 'reserve',
  claim: 'claim',
  place: 'place',
  dispatch: 'dispatch',
  relay: 'relay',
  settle: 'settle',
} as const;

/** One of {@link REQUEST_STEPS}. */
export type RequestStep = (typeof REQUEST_STEPS)[keyof typeof REQUEST_STEPS];
