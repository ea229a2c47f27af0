/** Term of a lease, and the row from which its epoch was derived. */
export interface LeaseTerm {
  /** Fencing token of the orders of the term. */
  readonly epoch: number;
  /** Era of the store in which the lease was acquired. */
  readonly era: number;
  /** Version of the row that the acquisition replaced; 0 if there was none. */
  readonly replacedVersion: number;
}
