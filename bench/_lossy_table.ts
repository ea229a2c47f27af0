import type {
  CommitResult,
  TableService,
  TableTransaction,
} from '../src/stores/mod.ts';
import {MemoryTable} from '../src/testing/mod.ts';
import {type Clock, sleep} from '../src/time/mod.ts';
import type {SeededRandom} from './_seeded_random.ts';

/** Options of {@link LossyTable}. */
export interface LossyTableOptions {
  clock: Clock;
  random: SeededRandom;
  /** Share of commits whose answer is lost, 0 to 1. */
  lostAnswers: number;
  /** Longest time after which a delayed commit still takes effect. */
  latestArrivalMilliseconds: number;
}

/**
 * Table in memory whose answers to commits are lost: in equal parts after the
 * effect, before it, and with an effect that happens later.
 */
export class LossyTable implements TableService {
  private readonly table = new MemoryTable();
  /** Commits submitted so far. */
  commits = 0;
  /** Rows read and scanned so far. */
  rowsRead = 0;
  /** Rows that committed transactions wrote so far. */
  rowsWritten = 0;

  constructor(private readonly options: LossyTableOptions) {}

  async read(keys: readonly string[]) {
    await this.delay();
    this.rowsRead += keys.length;
    return this.table.read(keys);
  }

  async scan(prefix: string, options: {after?: string; limit?: number} = {}) {
    const rows = await this.table.scan(prefix, options);
    if (rows.ok) this.rowsRead += rows.value.length;
    return rows;
  }

  async commit(transaction: TableTransaction): Promise<CommitResult> {
    this.commits++;
    const {clock, random, lostAnswers} = this.options;
    await this.delay();
    if (!random.chance(lostAnswers)) {
      const result = await this.table.commit(transaction);
      if (result.kind === 'committed') {
        this.rowsWritten += transaction.writes.length;
      }
      return result;
    }
    switch (random.pick(['after', 'before', 'later'] as const)) {
      case 'after':
        await this.table.commit(transaction);
        break;
      case 'before':
        break;
      case 'later': {
        const latest = this.options.latestArrivalMilliseconds;
        clock.startTimer(random.integer(1, latest), () => {
          void this.table.commit(transaction);
        });
        break;
      }
    }
    await sleep(clock, 20);
    return {kind: 'uncertain', peer: 'table', reason: 'The answer was lost'};
  }

  /** Deletes a row after a while, whatever its version. */
  deleteLater(key: string, milliseconds: number): void {
    this.options.clock.startTimer(milliseconds, () => {
      void this.table.commit({conditions: [], writes: [{kind: 'delete', key}]});
    });
  }

  private async delay(): Promise<void> {
    const {clock, random} = this.options;
    await sleep(clock, random.integer(1, 4));
  }
}
