import {failure, type Result, success} from '../errors/mod.ts';
import type {
  CommitResult,
  JsonValue,
  PlatformError,
  ScanOptions,
  TableRow,
  TableService,
  TableTransaction,
} from '../stores/mod.ts';

const PEER = 'memory-table';

/** Table service in memory, with faults that tests switch on. */
export class MemoryTable implements TableService {
  /** Refuses every operation before it has an effect. */
  down = false;
  /** Decides for each commit whether its answer is lost after the effect. */
  losesAnswer: () => boolean = () => false;
  /** Operations served so far. */
  readonly counts = {reads: 0, scans: 0, commits: 0};
  private readonly rows = new Map<string, TableRow>();
  private sortedKeys: string[] | undefined;

  async read(
    keys: readonly string[],
  ): Promise<Result<readonly (TableRow | undefined)[], PlatformError>> {
    this.counts.reads++;
    if (this.down) return failure(unavailable('read'));
    return success(keys.map(key => this.rows.get(key)));
  }

  async scan(
    prefix: string,
    options: ScanOptions = {},
  ): Promise<Result<readonly TableRow[], PlatformError>> {
    this.counts.scans++;
    if (this.down) return failure(unavailable('scan'));
    this.sortedKeys ??= [...this.rows.keys()].sort();
    const after = options.after;
    const keys = this.sortedKeys.filter(
      key => key.startsWith(prefix) && (after === undefined || key > after),
    );
    return success(
      keys.slice(0, options.limit ?? 500).map(key => this.rows.get(key)!),
    );
  }

  async commit(transaction: TableTransaction): Promise<CommitResult> {
    this.counts.commits++;
    if (this.down) return {kind: 'unavailable', error: unavailable('commit')};
    const result = this.apply(transaction);
    if (this.losesAnswer()) {
      return {kind: 'uncertain', peer: PEER, reason: 'The answer was lost'};
    }
    return result;
  }

  /** Writes a row without conditions; for tests. */
  put(key: string, value: JsonValue): void {
    this.apply({conditions: [], writes: [{kind: 'put', key, value}]});
  }

  private apply(transaction: TableTransaction): CommitResult {
    const keys = transaction.conditions
      .filter(({key, version}) => {
        return (this.rows.get(key)?.version ?? null) !== version;
      })
      .map(condition => condition.key);
    if (keys.length > 0) return {kind: 'conflict', keys};
    for (const write of transaction.writes) {
      const current = this.rows.get(write.key);
      if (write.kind === 'delete') {
        this.rows.delete(write.key);
        this.sortedKeys = undefined;
        continue;
      }
      if (current === undefined) this.sortedKeys = undefined;
      const version = (current?.version ?? 0) + 1;
      this.rows.set(write.key, {key: write.key, version, value: write.value});
    }
    return {kind: 'committed'};
  }
}

function unavailable(step: 'read' | 'scan' | 'commit'): PlatformError {
  return {kind: 'unavailable', step, peer: PEER, reason: 'The table is down'};
}
