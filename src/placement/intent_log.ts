import {z} from 'zod';
import {type Result, success} from '../errors/mod.ts';
import type {
  PlatformError,
  TableService,
  TransactionWriter,
} from '../stores/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';

const intentSchema = z.object({
  orderId: z.string(),
  epoch: z.number(),
  endpoint: z.string(),
  kind: z.enum(['load', 'unload']),
  target: z.string(),
  targetKind: z.enum(['model', 'adapter']),
  baseModel: z.string().nullable(),
  version: z.string(),
  memoryMegabytes: z.number(),
  expectedMilliseconds: z.number(),
  remote: z.boolean(),
});

/** An order as it is recorded in the table before it is sent. */
export type Intent = z.infer<typeof intentSchema>;

const epochSchema = z.object({epoch: z.number(), closed: z.boolean()});

type EpochRow = z.infer<typeof epochSchema>;

/** Rows that the controllers of earlier epochs have recorded. */
export interface RecordedIntents {
  readonly intents: readonly Intent[];
  /** Whether every earlier epoch was closed with all its orders recorded. */
  readonly complete: boolean;
}

/** Options of {@link IntentLog}. */
export interface IntentLogOptions {
  pool: string;
  /** Epoch of this controller's lease. */
  epoch: number;
  /** Identifier of this process, which makes transaction ids unique. */
  owner: string;
  table: TableService;
  writer: TransactionWriter;
  clock: Clock;
  /** Milliseconds after which an order is sent unrecorded. @default 300 */
  recordTimeoutMilliseconds?: number;
}

/** Time after a failed write during which orders do not wait for the table. */
const TABLE_RETRY_MILLISECONDS = 2000;

/**
 * Records a controller's orders in the table before they are sent, so that the
 * controller of the next epoch can account for them.
 */
export class IntentLog {
  private readonly unrecorded = new Map<string, Intent>();
  private readonly recorded = new Set<string>();
  private readonly finished = new Set<string>();
  private earlierEpochs: readonly EpochRow[] = [];
  private retryTableAt = -Infinity;
  private serial = 0;

  constructor(private readonly options: IntentLogOptions) {}

  /** Number of orders that are not in the table yet. */
  get unrecordedCount(): number {
    return this.unrecorded.size;
  }

  /** Reads the intents and epochs in the table. */
  async read(): Promise<Result<RecordedIntents, PlatformError>> {
    const {table} = this.options;
    const epochs = await table.scan(this.epochPrefix);
    if (!epochs.ok) return epochs;
    const rows = await table.scan(this.intentPrefix);
    if (!rows.ok) return rows;
    const intents: Intent[] = [];
    for (const row of rows.value) {
      const parsed = intentSchema.safeParse(row.value);
      if (!parsed.success) continue;
      intents.push(parsed.data);
      this.recorded.add(parsed.data.orderId);
    }
    this.earlierEpochs = epochs.value.flatMap(row => {
      const parsed = epochSchema.safeParse(row.value);
      return parsed.success ? [parsed.data] : [];
    });
    const previous = this.options.epoch - 1;
    const complete =
      this.earlierEpochs.every(({closed}) => closed) &&
      (previous === 0 ||
        this.earlierEpochs.some(({epoch}) => epoch === previous));
    return success({intents, complete});
  }

  /** Records that this epoch is open: orders may be sent without a record. */
  async open(): Promise<void> {
    await this.putEpoch(false, []);
  }

  /** Deletes the epoch rows of predecessors, once their orders are settled. */
  async deleteEarlierEpochs(): Promise<void> {
    const earlier = this.earlierEpochs.filter(({epoch}) => {
      return epoch < this.options.epoch;
    });
    if (earlier.length === 0) return;
    if (await this.putEpoch(false, earlier)) this.earlierEpochs = [];
  }

  /** Closes this epoch if all orders are recorded; no more may be sent then. */
  async close(): Promise<void> {
    await this.flush();
    if (this.unrecorded.size === 0) await this.putEpoch(true, []);
  }

  /**
   * Records an order. If the table does not answer in time, the order goes on
   * unrecorded, so that loads work while the table is down; a later
   * {@link flush} then records it.
   */
  async record(intent: Intent): Promise<void> {
    this.unrecorded.set(intent.orderId, intent);
    const {clock, recordTimeoutMilliseconds = 300} = this.options;
    if (clock.monotonicMilliseconds() < this.retryTableAt) return;
    const abort = new AbortController();
    const written = this.write([intent]).then(done => {
      abort.abort();
      return done;
    });
    const timedOut = sleep(clock, recordTimeoutMilliseconds, abort.signal).then(
      () => {
        return undefined;
      },
    );
    const done = await Promise.race([written, timedOut]);
    if (done === true) return;
    this.retryTableAt =
      clock.monotonicMilliseconds() + TABLE_RETRY_MILLISECONDS;
  }

  /** Marks an order as finished; the next write deletes its row, if any. */
  finish(orderId: string): void {
    if (this.unrecorded.delete(orderId)) return;
    if (this.recorded.delete(orderId)) this.finished.add(orderId);
  }

  /** Records orders that are missing and deletes those that are finished. */
  async flush(): Promise<void> {
    const now = this.options.clock.monotonicMilliseconds();
    if (now < this.retryTableAt) return;
    const missing = [...this.unrecorded.values()];
    if (missing.length === 0 && this.finished.size === 0) return;
    const done = await this.write(missing);
    if (!done) this.retryTableAt = now + TABLE_RETRY_MILLISECONDS;
  }

  private async write(intents: readonly Intent[]): Promise<boolean> {
    const finished = [...this.finished];
    const result = await this.options.writer.write(this.nextId(), {
      conditions: [],
      writes: [
        ...intents.map(intent => ({
          kind: 'put' as const,
          key: `${this.intentPrefix}${intent.orderId}`,
          value: intent,
        })),
        ...finished.map(orderId => ({
          kind: 'delete' as const,
          key: `${this.intentPrefix}${orderId}`,
        })),
      ],
    });
    if (result.kind !== 'committed') return false;
    for (const orderId of finished) this.finished.delete(orderId);
    for (const {orderId} of intents) {
      if (this.unrecorded.delete(orderId)) this.recorded.add(orderId);
      else this.finished.add(orderId);
    }
    return true;
  }

  private async putEpoch(
    closed: boolean,
    retired: readonly EpochRow[],
  ): Promise<boolean> {
    const {epoch} = this.options;
    const result = await this.options.writer.write(this.nextId(), {
      conditions: [],
      writes: [
        {kind: 'put', key: this.epochKey(epoch), value: {epoch, closed}},
        ...retired.map(row => ({
          kind: 'delete' as const,
          key: this.epochKey(row.epoch),
        })),
      ],
    });
    return result.kind === 'committed';
  }

  private nextId(): string {
    const {pool, owner, epoch} = this.options;
    return `placement/${pool}/${epoch}/${owner}/${this.serial++}`;
  }

  private get intentPrefix(): string {
    return `placement/${this.options.pool}/intent/`;
  }

  private get epochPrefix(): string {
    return `placement/${this.options.pool}/epoch/`;
  }

  private epochKey(epoch: number): string {
    return `${this.epochPrefix}${String(epoch).padStart(12, '0')}`;
  }
}
