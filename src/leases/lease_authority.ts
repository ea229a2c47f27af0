/** Determines whether this host may make the decisions of a scope. */
export interface LeaseAuthority {
  /**
   * Returns the epoch of the lease, to be used as fencing token, if this host
   * holds the lease and may act now; otherwise undefined. Call it immediately
   * before each action.
   */
  actingEpoch(scope: string): number | undefined;
  /**
   * Returns the host id of the holder according to this host's copy of the
   * authority, or undefined if the lease has no holder.
   */
  holderOf(scope: string): string | undefined;
  /**
   * Calls the listener when this host starts or stops acting for a scope.
   *
   * @returns Function that removes the listener.
   */
  onChange(
    listener: (scope: string, epoch: number | undefined) => void,
  ): () => void;
}
