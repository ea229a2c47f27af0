import {decodeHostRow, encodeHostRow, type HostRow} from '../fleet/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {
  CommitOutcome,
  RowStore,
  StoreClock,
  StoreEra,
} from '../stores/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';

/** Table in which hosts discover each other. */
export const HOST_TABLE = 'hosts';

/** Options of {@link HostRegistration}. */
export interface HostRegistrationOptions {
  store: RowStore;
  clock: Clock;
  storeClock: StoreClock;
  storeEra: StoreEra;
  logger: EventLogger;
  /** Returns the row of this host; called for each write. */
  row: () => HostRow;
}

/** Delay before a failed write is retried. */
const RETRY_DELAY_MILLISECONDS = 400;

/** Registers this host in the store. */
export class HostRegistration {
  private readonly abortController = new AbortController();

  private hasRegistered = false;
  /** Version of the row that this process has written; 0 if it does not know. */
  private version = 0;

  constructor(private readonly options: HostRegistrationOptions) {
    // The store may have lost the row, or brought an older one back.
    options.storeEra.onChange(() => {
      if (this.hasRegistered) void this.register();
    });
  }

  /** Writes the row; retries until it succeeds or {@link deregister} is called. */
  async register(): Promise<void> {
    const {clock, row} = this.options;
    const {signal} = this.abortController;
    this.hasRegistered = true;
    while (!signal.aborted) {
      if (await this.write(encodeHostRow(row()))) return;
      await sleep(clock, RETRY_DELAY_MILLISECONDS, signal);
    }
  }

  /**
   * Removes the row; does not retry, because the process is about to exit. A removal
   * that the store carries out late must not take away the row of the next process, so
   * it names the version of the row.
   */
  async deregister(): Promise<void> {
    this.abortController.abort();
    const outcome = await this.commit(undefined, this.version);
    if (outcome?.kind !== 'conflict') return;
    const {hostId, incarnation} = this.options.row();
    const stored = outcome.rows.find(({key}) => key === hostId);
    const isOwn =
      stored?.value !== undefined &&
      decodeHostRow(stored.value)?.incarnation === incarnation;
    if (isOwn) await this.commit(undefined, stored.version);
  }

  private async write(value: Buffer): Promise<boolean> {
    const outcome = await this.commit(value, undefined);
    if (outcome?.kind === 'committed') this.version = outcome.version;
    return outcome !== undefined;
  }

  /** @returns undefined if the store gave no answer. */
  private async commit(
    value: Buffer | undefined,
    expectedVersion: number | undefined,
  ): Promise<CommitOutcome | undefined> {
    const {store, clock, storeClock, storeEra, logger, row} = this.options;
    const startedAt = clock.monotonicMilliseconds();
    const outcome = await store.commit([
      {table: HOST_TABLE, key: row().hostId, value, expectedVersion},
    ]);
    if (!outcome.ok) {
      logger.event('hostRowWriteFailed', {...outcome.error});
      return undefined;
    }
    storeEra.observe(outcome.value.era, clock.monotonicMilliseconds());
    if (outcome.value.kind === 'committed')
      storeClock.recordCall({startedAt, ...outcome.value});
    return outcome.value;
  }
}
