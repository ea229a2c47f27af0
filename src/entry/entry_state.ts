/** Lifecycle state of an entry host. */
export class EntryState {
  /** Whether the host is shutting down and directs callers to other hosts. */
  isDraining = false;
}
