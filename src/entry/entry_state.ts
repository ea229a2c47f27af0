/** Lifecycle state of an entry host. */
export class EntryState {
  /** Whether the host is shutting down and directs callers to other hosts. */
  isDraining = false;
  /**
   * Monotonic time from which requests are refused that are not at an endpoint yet,
   * because they might not finish before the host stops.
   */
  dispatchEndsAt = Number.POSITIVE_INFINITY;
}
