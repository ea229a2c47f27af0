/** Lifecycle state of an entry host. */
export class EntryState {
  /** Whether the host is shutting down and directs callers to other hosts. */
  isDraining = false;
  /** Whether new requests are refused because they might not finish in time. */
  refusesNewRequests = false;
}
