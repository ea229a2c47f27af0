/** Step of an exchange with a platform service. */
export type PlatformStep =
  | 'read'
  | 'scan'
  | 'commit'
  | 'get_object'
  | 'put_object'
  | 'delete_object'
  | 'list_hosts'
  | 'list_checkpoints';

/** Failure of an exchange with a platform service; nothing was changed. */
export type PlatformError =
  | {
      readonly kind: 'unavailable';
      readonly step: PlatformStep;
      readonly peer: string;
      readonly reason: string;
    }
  | {
      /** The service answered with something that the client cannot read. */
      readonly kind: 'invalid_answer';
      readonly step: PlatformStep;
      readonly peer: string;
      readonly reason: string;
    }
  | {
      /** The host spent its own budget of operations a second. */
      readonly kind: 'over_budget';
      readonly step: PlatformStep;
      readonly peer: string;
      readonly retryAfterMilliseconds: number;
    };
