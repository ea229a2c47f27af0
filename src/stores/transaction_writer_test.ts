import {describe, expect, test} from 'vitest';
import {SILENT_LOGGER} from '../observability/mod.ts';
import {ManualClock, MemoryTable, settle} from '../testing/mod.ts';
import type {CommitResult, TableTransaction} from './mod.ts';
import {transactionMarkerKey, TransactionWriter} from './mod.ts';

/** Fault injected into one commit. */
type Fault = 'none' | 'answer_lost' | 'late' | 'request_lost' | 'down';

/** Table that injects the given faults into its first commits, in order. */
class FaultyTable extends MemoryTable {
  /** Transactions that are applied only when {@link deliverLate} is called. */
  readonly late: TableTransaction[] = [];
  private index = 0;

  constructor(private readonly faults: readonly Fault[]) {
    super();
  }

  override async commit(transaction: TableTransaction): Promise<CommitResult> {
    const index = this.index++;
    const lost: CommitResult = {
      kind: 'uncertain',
      peer: 'table',
      reason: 'lost',
    };
    switch (this.faults[index] ?? 'none') {
      case 'none':
        return super.commit(transaction);
      case 'answer_lost':
        await super.commit(transaction);
        return lost;
      case 'late':
        this.late.push(transaction);
        return lost;
      case 'request_lost':
        return lost;
      case 'down': {
        this.down = true;
        const result = await super.commit(transaction);
        this.down = false;
        return result;
      }
    }
  }

  async deliverLate(): Promise<void> {
    for (const transaction of this.late) await super.commit(transaction);
  }

  async readValue(key: string): Promise<unknown> {
    const rows = await this.read([key]);
    return rows.ok ? rows.value[0]?.value : undefined;
  }
}

function createWriter(table: MemoryTable, clock = new ManualClock()) {
  const writer = new TransactionWriter({
    table,
    clock,
    logger: SILENT_LOGGER,
    random: () => 0.5,
  });
  return {writer, clock};
}

const CREATE: TableTransaction = {
  conditions: [{key: 'row', version: null}],
  writes: [{kind: 'put', key: 'row', value: 'mine'}],
};

describe('TransactionWriter', () => {
  const cases: {
    name: string;
    faults: readonly Fault[];
    result: object;
    row: unknown;
  }[] = [
    {
      name: 'commits once',
      faults: [],
      result: {kind: 'committed', alreadyCommitted: false},
      row: 'mine',
    },
    {
      name: 'detects that the first submission was committed',
      faults: ['answer_lost'],
      result: {kind: 'committed', alreadyCommitted: true},
      row: 'mine',
    },
    {
      name: 'submits again when the first submission never arrived',
      faults: ['request_lost'],
      result: {kind: 'committed', alreadyCommitted: false},
      row: 'mine',
    },
    {
      name: 'keeps retrying when the table is unavailable after a lost response',
      faults: ['answer_lost', 'down', 'request_lost'],
      result: {kind: 'committed', alreadyCommitted: true},
      row: 'mine',
    },
    {
      name: 'reports unavailable when no submission can have arrived',
      faults: ['down'],
      result: {kind: 'unavailable'},
      row: undefined,
    },
    {
      name: 'reports uncertain when every response is lost',
      faults: Array<Fault>(50).fill('request_lost'),
      result: {kind: 'uncertain'},
      row: undefined,
    },
  ];
  test.each(cases)('$name', async ({faults, result, row}) => {
    const table = new FaultyTable(faults);
    const {writer, clock} = createWriter(table);
    expect(await settle(clock, writer.write('id', CREATE))).toMatchObject(
      result,
    );
    expect(await table.readValue('row')).toBe(row);
  });

  // Guards against applying a transaction twice: a delayed first submission must
  // fail on the marker row that the retry wrote.
  test('a first submission that arrives after its retry has no effect', async () => {
    const table = new FaultyTable(['late']);
    const {writer, clock} = createWriter(table);
    const result = await settle(clock, writer.write('id', CREATE));
    expect(result).toEqual({kind: 'committed', alreadyCommitted: false});
    table.put('row', 'changed since');
    await table.deliverLate();
    expect(await table.readValue('row')).toBe('changed since');
  });

  // Guards against committing a transaction after its conflict was reported: the
  // conflicting row is deleted before the delayed submission arrives.
  const deletions = [
    {name: 'a create-only condition', version: null, before: 0, after: 1},
    {
      name: 'a version that recurs after the row is recreated',
      version: 1,
      before: 2,
      after: 1,
    },
  ];
  test.each(deletions)(
    'a conflict is final with $name',
    async ({version, before, after}) => {
      const table = new FaultyTable(['late']);
      for (let write = 0; write < before; write++) table.put('row', 'other');
      if (version === null) table.put('row', 'other');
      const {writer, clock} = createWriter(table);
      const result = await settle(
        clock,
        writer.write('id', {...CREATE, conditions: [{key: 'row', version}]}),
      );
      expect(result).toEqual({kind: 'conflict', keys: ['row']});
      await table.commit({
        conditions: [],
        writes: [{kind: 'delete', key: 'row'}],
      });
      if (version !== null) {
        for (let write = 0; write < after; write++) table.put('row', 'other');
      }
      await table.deliverLate();
      expect(await table.readValue('row')).not.toBe('mine');
    },
  );

  // Guards against reading an aborted marker as a committed one.
  test('an id can be committed once after a conflict', async () => {
    const table = new FaultyTable(['late']);
    table.put('row', 'other');
    const {writer, clock} = createWriter(table);
    const write = (transaction: TableTransaction) =>
      settle(clock, writer.write('id', transaction));
    expect((await write(CREATE)).kind).toBe('conflict');
    const update: TableTransaction = {
      conditions: [{key: 'row', version: 1}],
      writes: [{kind: 'put', key: 'row', value: 'mine'}],
    };
    expect(await write(update)).toEqual({
      kind: 'committed',
      alreadyCommitted: false,
    });
    expect(await write(update)).toEqual({
      kind: 'committed',
      alreadyCommitted: true,
    });
    await table.deliverLate();
    expect(await table.readValue('row')).toBe('mine');
  });

  // Guards against endless retries or a wrong outcome when the response to the
  // write of the aborted marker is lost.
  test.each<Fault>(['answer_lost', 'request_lost', 'late'])(
    'a conflict is reported when writing the aborted marker fails with %s',
    async fault => {
      const table = new FaultyTable(['late', 'none', fault]);
      table.put('row', 'other');
      const {writer, clock} = createWriter(table);
      const result = await settle(clock, writer.write('id', CREATE));
      expect(result).toEqual({kind: 'conflict', keys: ['row']});
      await table.commit({
        conditions: [],
        writes: [{kind: 'delete', key: 'row'}],
      });
      await table.deliverLate();
      expect(await table.readValue('row')).toBeUndefined();
    },
  );

  // Guards against submitting the transaction again after each abort: if every
  // second response is lost, the writer would retry until its time limit.
  test('a conflict is reported when every second response is lost', async () => {
    const lost: Fault[] = ['answer_lost', 'none'];
    const table = new FaultyTable(Array<Fault[]>(500).fill(lost).flat());
    table.put('row', 'other');
    const {writer, clock} = createWriter(table);
    const result = await settle(clock, writer.write('id', CREATE));
    expect(result).toEqual({kind: 'conflict', keys: ['row']});
    expect(table.counts.commits).toBeLessThanOrEqual(4);
  });

  // Guards against submitting when the marker row may already be removed, which
  // could apply the transaction twice.
  test('a paused writer does not submit after its time limit', async () => {
    const table = new FaultyTable(['answer_lost']);
    const {writer, clock} = createWriter(table);
    const pending = writer.write('id', CREATE);
    await clock.advanceAsync(10);
    // Simulates a paused process: the clock advances before the timer fires.
    await table.commit({
      conditions: [],
      writes: [
        {kind: 'delete', key: 'row'},
        {kind: 'delete', key: transactionMarkerKey('id')},
      ],
    });
    const commits = table.counts.commits;
    clock.monotonicMilliseconds = () => 3_700_000;
    await clock.advanceAsync(100);
    expect((await pending).kind).toBe('uncertain');
    expect(table.counts.commits).toBe(commits);
  });
});
