/** Where an entry host is in its life. */
export class EntryState {
  /** Whether the host leaves: callers are sent to other hosts. */
  isDraining = false;
  /** Whether new requests are refused, because they could not end in time. */
  refusesNewRequests = false;
}
