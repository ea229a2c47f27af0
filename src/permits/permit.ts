/** Whether one request may be sent to an endpoint that limits its requests. */
export type Permit =
  | {
      readonly kind: 'granted';
      /** Monotonic time from which on the request may be sent. */
      readonly at: number;
    }
  | {
      readonly kind: 'denied';
      /** Monotonic time at which the caller may return. */
      readonly returnAt: number;
    };
