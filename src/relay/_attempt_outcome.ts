import type {RequestError} from '../errors/mod.ts';

/** How an attempt at a request ended. */
export type AttemptOutcome =
  | {readonly kind: 'delivered'}
  /** Nothing was forwarded, since the software version of the stream is not recorded. */
  | {
      readonly kind: 'withheld';
      readonly reason: string;
      readonly error: RequestError;
    }
  | {
      readonly kind: 'not_run';
      readonly reason: string;
      /** Whether the same endpoint may accept the request later. */
      readonly mayRetrySameEndpoint: boolean;
    }
  | {
      readonly kind: 'broken';
      readonly reason: string;
      /** Whether the endpoint closed the connection before its response was complete. */
      readonly isDisconnected?: boolean;
      /** Whether the endpoint's head did not arrive within the time-out. */
      readonly timedOut?: boolean;
      /** Forwards the endpoint's response when no attempt is left. */
      readonly fallback?: () => void;
    };
