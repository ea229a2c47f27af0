import {failure, type Result, success} from '../errors/mod.ts';
import type {
  CommitOutcome,
  Row,
  RowChange,
  RowPage,
  RowStore,
  RowStoreError,
} from '../stores/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import type {PausableClock} from './pausable_clock.ts';

/** How the store treats the calls of one host. */
export type StoreAccess =
  | 'served'
  /** Refuses them at once. */
  | 'turned_away'
  /** Neither carries them out nor answers. */
  | 'silent'
  /** Carries them out after some seconds. */
  | 'slow'
  /** Carries them out and loses the answers. */
  | 'answers_lost';

const CALL_MILLISECONDS = 4;
const SLOW_MILLISECONDS = 3000;
const TIMEOUT_MILLISECONDS = 1000;

/** One table in memory that treats each host in its own way. */
export class OriginRows {
  /** Rises when the store comes back from an older copy. */
  era = 0;
  private rows = new Map<string, Row>();
  private version = 0;

  constructor(private readonly clock: Clock) {}

  /** Number of transactions so far. */
  get writes(): number {
    return this.version;
  }

  /** Content of a row. */
  get(key: string): Buffer | undefined {
    return this.rows.get(key)?.value;
  }

  /** Writes a row without a condition. */
  put(key: string, value: string): void {
    this.version++;
    const row = {key, value: Buffer.from(value), version: this.version};
    this.rows.set(key, row);
  }

  /** Returns a copy of the rows for {@link restore}. */
  copy(): ReadonlyMap<string, Row> {
    return new Map(this.rows);
  }

  /** Comes back from an older copy. */
  restore(rows: ReadonlyMap<string, Row>): void {
    this.rows = new Map(rows);
    this.era++;
  }

  /** The store as the process with a clock sees it. */
  open(clock: PausableClock, access: () => StoreAccess): RowStore {
    const call = async <Value>(
      step: 'read' | 'commit',
      act: () => Value,
    ): Promise<Result<Value, RowStoreError>> => {
      const how = access();
      const error = (mayHaveHappened: boolean) =>
        failure<RowStoreError>({
          kind: 'unavailable',
          step,
          peer: 'store',
          reason: how,
          mayHaveHappened,
        });
      switch (how) {
        case 'turned_away':
          await sleep(clock, CALL_MILLISECONDS);
          return error(false);
        case 'silent':
          await sleep(clock, TIMEOUT_MILLISECONDS);
          return error(step === 'commit');
        case 'slow':
          // The store goes on whatever happens to the process.
          void sleep(this.clock, SLOW_MILLISECONDS).then(act);
          await sleep(clock, TIMEOUT_MILLISECONDS);
          return error(step === 'commit');
        case 'answers_lost':
          act();
          await sleep(clock, TIMEOUT_MILLISECONDS);
          return error(step === 'commit');
        case 'served': {
          await sleep(clock, CALL_MILLISECONDS / 2);
          const value = act();
          await sleep(clock, CALL_MILLISECONDS / 2);
          return success(value);
        }
      }
    };
    const readTable = () => call<RowPage>('read', () => this.read());
    return {
      readTable,
      followTable: readTable,
      commit: ([change]) => call('commit', () => this.commit(change)),
    };
  }

  private read(): RowPage {
    return {...this.head, rows: [...this.rows.values()]};
  }

  private commit(change: RowChange | undefined): CommitOutcome {
    if (change === undefined) throw new Error('a commit without a change');
    const {key, value, expectedVersion} = change;
    const row = this.rows.get(key);
    if (expectedVersion !== (row?.version ?? 0)) {
      const rows = row === undefined ? [] : [row];
      return {kind: 'conflict', rows, era: this.era};
    }
    this.version++;
    if (value === undefined) this.rows.delete(key);
    else this.rows.set(key, {key, value, version: this.version});
    return {kind: 'committed', ...this.head};
  }

  private get head() {
    const storeMilliseconds = this.clock.monotonicMilliseconds();
    return {version: this.version, era: this.era, storeMilliseconds};
  }
}
