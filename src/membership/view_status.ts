/**
 * Tells whether this host may act on its copy of the authority: whether the
 * copy was confirmed as current within the view timeout.
 */
export interface ViewStatus {
  /** Monotonic time until which the view is confirmed. */
  confirmedUntil(): number;
  /** Whether the view is confirmed now. */
  isConfirmed(): boolean;
  /** Resolves once the view is confirmed, or when `signal` is aborted. */
  waitUntilConfirmed(signal?: AbortSignal): Promise<void>;
}
