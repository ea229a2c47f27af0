/** Where rows come from, for logs. */
export interface RowSource {
  /** `store`, or the id of the peer that has sent them. */
  readonly origin: string;
  /** Time since the table was known to contain the rows, in milliseconds. */
  readonly ageMilliseconds: number;
  /** Era of the store to which the versions of the rows belong. */
  readonly era: number;
}
