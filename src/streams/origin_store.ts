import type {Result} from '../errors/mod.ts';
import type {
  CommitOutcome,
  RowStore,
  RowStoreError,
  StoreClock,
  StoreEra,
} from '../stores/mod.ts';
import type {Clock} from '../time/mod.ts';
import {
  decodeOriginPage,
  encodeOriginPage,
  type OriginPage,
} from './origin_page.ts';

/** Table in which each host has one page. */
export const ORIGIN_TABLE = 'streams';

/** Options of {@link OriginStore}. */
export interface OriginStoreOptions {
  store: RowStore;
  clock: Clock;
  storeClock: StoreClock;
  storeEra: StoreEra;
}

/** The page of one host as it was read. */
export interface StoredPage {
  readonly hostId: string;
  /** Undefined if it cannot be read. */
  readonly page: OriginPage | undefined;
  /** Version of the row. */
  readonly version: number;
}

/** Pages of all hosts, read at one moment that is later than the call. */
export interface StoredPages {
  readonly pages: readonly StoredPage[];
  /** Era of the store in which they were read. */
  readonly era: number;
}

/** Reads and writes the pages of hosts. */
export class OriginStore {
  private reading: Promise<StoredPages | undefined> | undefined;
  private next: Promise<StoredPages | undefined> | undefined;

  constructor(private readonly options: OriginStoreOptions) {}

  /**
   * Reads the pages of all hosts. Calls that come while a read is under way share the
   * one after it, since a page may have been written after the first read.
   *
   * @returns undefined if the store gave no answer.
   */
  read(): Promise<StoredPages | undefined> {
    if (this.reading === undefined) {
      this.reading = this.readOnce().finally(() => {
        this.reading = undefined;
      });
      return this.reading;
    }
    this.next ??= this.reading.then(() => {
      this.next = undefined;
      return this.read();
    });
    return this.next;
  }

  /**
   * Writes the page of a host if its row still has a version.
   *
   * @param page The new page; undefined removes the row.
   */
  async write(
    hostId: string,
    page: OriginPage | undefined,
    expectedVersion: number,
  ): Promise<Result<CommitOutcome, RowStoreError>> {
    const {store, clock, storeClock, storeEra} = this.options;
    const startedAt = clock.monotonicMilliseconds();
    const outcome = await store.commit([
      {
        table: ORIGIN_TABLE,
        key: hostId,
        value: page === undefined ? undefined : encodeOriginPage(page),
        expectedVersion,
      },
    ]);
    if (!outcome.ok) return outcome;
    storeEra.observe(outcome.value.era, clock.monotonicMilliseconds());
    if (outcome.value.kind === 'committed')
      storeClock.recordCall({startedAt, ...outcome.value});
    return outcome;
  }

  private async readOnce(): Promise<StoredPages | undefined> {
    const {store, clock, storeClock, storeEra} = this.options;
    const startedAt = clock.monotonicMilliseconds();
    const table = await store.readTable(ORIGIN_TABLE);
    if (!table.ok) return undefined;
    const {rows, era, storeMilliseconds} = table.value;
    storeEra.observe(era, clock.monotonicMilliseconds());
    storeClock.recordCall({startedAt, storeMilliseconds});
    const pages = rows.flatMap(({key, value, version}) => {
      if (value === undefined) return [];
      return [{hostId: key, page: decodeOriginPage(value), version}];
    });
    return {pages, era};
  }
}
