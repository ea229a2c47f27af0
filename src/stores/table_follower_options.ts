import type {EventLogger} from '../observability/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {Row, RowStore} from './row_store.ts';
import type {RowSource} from './row_source.ts';
import type {StoreClock} from './store_clock.ts';
import type {StoreEra} from './store_era.ts';
import type {TableUpdate} from './table_update.ts';

/** Options of `TableFollower`. */
export interface TableFollowerOptions {
  store: RowStore;
  table: string;
  clock: Clock;
  /** Clock of the store, shared by all followers of this host. */
  storeClock: StoreClock;
  /** Era of the store, shared likewise. */
  storeEra: StoreEra;
  logger: EventLogger;
  /** Maximum time in milliseconds that a call of the reader waits for a change. */
  waitMilliseconds: number;
  /** Delay after each call; limits the call rate on frequently changing tables. */
  pauseMilliseconds: () => number;
  /**
   * Age of this host's copy at which it reads the store itself; 0 makes it read
   * all the time. Hosts with a larger value are supplied by the updates of those
   * with a smaller one, and take over when these stop.
   */
  maximumAgeMilliseconds: () => number;
  /**
   * Time within which changes must be known; larger than any maximum age. A host
   * that reads in place of its peers makes several attempts within the rest of it.
   */
  boundMilliseconds: number;
  /**
   * Interval between updates without significant rows, which show the peers that
   * this host reads. @default 250
   */
  keepaliveMilliseconds?: number;
  /**
   * Whether a peer is expected to supply the first copy of the table, so that this
   * host reads it itself only after `INITIAL_WAIT_MILLISECONDS`.
   */
  isSupplied?: () => boolean;
  /**
   * Whether peers without access to the store need to know of a changed row.
   * `previous` is the row as all peers know it; undefined if that is not certain.
   */
  isSignificant?: (row: Row, previous: Row | undefined) => boolean;
  /** Sends an update to the peers. */
  publish?: (update: TableUpdate) => void;
  /** Receives all rows of the table at the start and after its history was lost. */
  onSnapshot: (rows: readonly Row[], source: RowSource) => void;
  /** Receives changed rows; deleted rows have no value. */
  onChanges: (rows: readonly Row[], source: RowSource) => void;
}
