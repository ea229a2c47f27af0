import {decodeLease, encodeLease, type LeaseContent} from './_lease_content.ts';
import type {PoolLeaseOptions} from './pool_lease_options.ts';
import {StoreReference} from './_store_reference.ts';

/** Table of the leases. */
export const LEASE_TABLE = 'leases';

/** A lease row as the store returned it. */
export interface LeaseRow {
  readonly content: LeaseContent;
  readonly version: number;
}

/** Result of writing a lease row under a condition on its version. */
export type WriteOutcome =
  | {
      readonly kind: 'committed';
      readonly version: number;
      readonly era: number;
    }
  | {
      readonly kind: 'conflict';
      readonly row: LeaseRow | undefined;
      readonly era: number;
    }
  | {readonly kind: 'failed'};

/** What a holder states in the row of its lease. */
export interface LeaseStatement {
  readonly epoch: number;
  readonly expectedVersion: number;
  readonly released: boolean;
  readonly active: boolean;
}

/** Writes the row of a lease for one host. */
export class LeaseRowWriter {
  private readonly reference: StoreReference;

  constructor(private readonly options: PoolLeaseOptions) {
    this.reference = new StoreReference(options.clock);
  }

  /** Records a response of the store to a call that started at the given times. */
  recordStoreTime(storeMilliseconds: number, startedAt: number): void {
    this.reference.record(storeMilliseconds, startedAt);
  }

  /** Writes the row if it still has the expected version. */
  async write(statement: LeaseStatement): Promise<WriteOutcome> {
    const {store, storeEra, clock, hostId, incarnation, scope, logger} =
      this.options;
    const {epoch, expectedVersion, released, active} = statement;
    const startedAt = clock.monotonicMilliseconds();
    const renewedStoreMilliseconds =
      this.options.ordersBySettledEngine === true
        ? this.reference.latestStoreTime()
        : undefined;
    const content: LeaseContent = {
      holder: hostId,
      incarnation,
      epoch,
      era: storeEra.current,
      released,
      active,
      ...(renewedStoreMilliseconds === undefined
        ? {}
        : {renewedStoreMilliseconds}),
    };
    const value = encodeLease(content);
    const outcome = await store.commit([
      {table: LEASE_TABLE, key: scope, value, expectedVersion},
    ]);
    if (!outcome.ok) {
      logger.event('leaseWriteFailed', {
        scope,
        epoch,
        reason: outcome.error.reason,
        mayHaveHappened: outcome.error.mayHaveHappened,
      });
      return {kind: 'failed'};
    }
    const {era} = outcome.value;
    storeEra.observe(era, clock.monotonicMilliseconds());
    if (outcome.value.kind === 'committed') {
      this.reference.record(outcome.value.storeMilliseconds, startedAt);
      return outcome.value;
    }
    const row = outcome.value.rows.find(({key}) => key === scope);
    const found = row === undefined ? undefined : decodeLease(row.value);
    return {
      kind: 'conflict',
      era,
      row:
        row === undefined || found === undefined
          ? undefined
          : {content: found, version: row.version},
    };
  }
}
