/** Operation on a platform service. */
export type PlatformStep =
  | 'read'
  | 'scan'
  | 'commit'
  | 'get_object'
  | 'put_object'
  | 'delete_object'
  | 'list_hosts'
  | 'list_checkpoints';

/** Failure of an operation on a platform service; the operation had no effect. */
export type PlatformError =
  | {
      readonly kind: 'unavailable';
      readonly step: PlatformStep;
      readonly peer: string;
      readonly reason: string;
    }
  | {
      /** The response does not match the expected schema. */
      readonly kind: 'invalid_answer';
      readonly step: PlatformStep;
      readonly peer: string;
      readonly reason: string;
    }
  | {
      /** This host has reached its own limit of operations per second. */
      readonly kind: 'over_budget';
      readonly step: PlatformStep;
      readonly peer: string;
      readonly retryAfterMilliseconds: number;
    };
