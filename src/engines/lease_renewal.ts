/** Last renewal of a lease, as the holder reports it to its peers. */
export interface LeaseRenewal {
  /** Era of the store to which the version belongs. */
  readonly era: number;
  /** Version of the row written by the renewal. */
  readonly version: number;
  /**
   * Time since the renewal started; too low if the host was suspended
   * meanwhile.
   */
  readonly sinceMilliseconds: number;
}
