import {randomUUID} from 'node:crypto';
import type {JsonValue, TransactionWriter, WriteResult} from '../stores/mod.ts';
import type {Clock} from '../time/mod.ts';

/** A write of one row under a condition on that row. */
export interface RowWrite {
  readonly key: string;
  /** Version that the row must have; null when it must not exist. */
  readonly version: number | null;
  readonly value: JsonValue;
}

/** Outcome of one {@link RowWrite}. */
export type RowResult =
  | {readonly kind: 'committed'}
  | {readonly kind: 'conflict'}
  /** Nothing was written and nothing will be. */
  | {readonly kind: 'unavailable'; readonly reason: string}
  /** It may have been written, or still will be. */
  | {readonly kind: 'uncertain'; readonly reason: string};

/** Options of {@link RowBatch}. */
export interface RowBatchOptions {
  writer: Pick<TransactionWriter, 'write'>;
  clock: Clock;
  /** Milliseconds for which writes are collected into a batch. @default 3 */
  collectMilliseconds?: number;
  /** Maximum rows per transaction. @default 64 */
  maximumRows?: number;
  /** Maximum transactions in flight. @default 4 */
  maximumTransactions?: number;
}

interface PendingWrite {
  readonly write: RowWrite;
  readonly resolve: (result: RowResult) => void;
}

/**
 * Batches writes of independent rows into transactions. A row whose
 * condition fails does not fail the others.
 */
export class RowBatch {
  private pending: PendingWrite[] = [];
  private running = 0;
  private isTimerSet = false;

  constructor(private readonly options: RowBatchOptions) {}

  /** Writes a row; at most one write of a row may be open at a time. */
  write(write: RowWrite): Promise<RowResult> {
    return new Promise(resolve => {
      this.pending.push({write, resolve});
      this.schedule();
    });
  }

  private schedule(): void {
    if (this.isTimerSet || this.pending.length === 0) return;
    // A slow table receives larger transactions, not more concurrent ones.
    if (this.running >= (this.options.maximumTransactions ?? 4)) return;
    this.isTimerSet = true;
    const delay = this.options.collectMilliseconds ?? 3;
    this.options.clock.startTimer(delay, () => {
      this.isTimerSet = false;
      const batch = this.pending.splice(0, this.options.maximumRows ?? 64);
      void this.run(batch);
      this.schedule();
    });
  }

  private async run(batch: readonly PendingWrite[]): Promise<void> {
    this.running++;
    try {
      let rest = batch;
      while (rest.length > 0) rest = await this.submit(rest);
    } finally {
      this.running--;
      this.schedule();
    }
  }

  /** Submits one transaction and returns the writes that must go into another. */
  private async submit(
    batch: readonly PendingWrite[],
  ): Promise<readonly PendingWrite[]> {
    const result = await this.writeAll(batch);
    if (result.kind !== 'conflict') {
      for (const {resolve} of batch) resolve(rowResult(result));
      return [];
    }
    const keys = new Set(result.keys);
    const failed = batch.filter(({write}) => keys.has(write.key));
    for (const {resolve} of failed) resolve({kind: 'conflict'});
    // Resubmitting the same transaction would loop forever.
    if (failed.length === 0) {
      const reason = 'The conflict names no row of the transaction';
      for (const {resolve} of batch) resolve({kind: 'unavailable', reason});
      return [];
    }
    return batch.filter(({write}) => !keys.has(write.key));
  }

  private writeAll(batch: readonly PendingWrite[]): Promise<WriteResult> {
    return this.options.writer.write(`rows-${randomUUID()}`, {
      conditions: batch.map(({write}) => {
        return {key: write.key, version: write.version};
      }),
      writes: batch.map(({write}) => {
        return {kind: 'put', key: write.key, value: write.value};
      }),
    });
  }
}

function rowResult(
  result: Exclude<WriteResult, {kind: 'conflict'}>,
): RowResult {
  switch (result.kind) {
    case 'committed':
      return {kind: 'committed'};
    case 'uncertain':
      return {kind: 'uncertain', reason: result.reason};
    case 'unavailable': {
      const {error} = result;
      const reason =
        error.kind === 'over_budget' ? 'Over the host budget' : error.reason;
      return {kind: 'unavailable', reason};
    }
  }
}
