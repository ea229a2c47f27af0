import {describe, expect, test} from 'vitest';
import {ManualClock, MemoryTable} from '../testing/mod.ts';
import {ExpiredRowRemover, type TableTransaction} from './mod.ts';

const HOUR = 3_600_000;

function row(clock: ManualClock, ageMilliseconds: number) {
  const at = new Date(clock.now().getTime() - ageMilliseconds);
  return {state: 'committed', at: at.toISOString()};
}

async function keysOf(table: MemoryTable): Promise<string[]> {
  const rows = await table.scan('');
  return rows.ok ? rows.value.map(({key}) => key) : [];
}

describe('ExpiredRowRemover', () => {
  const cases = [
    {name: 'young', age: HOUR - 1, kept: true},
    {name: 'old', age: HOUR, kept: false},
  ];
  test.each(cases)('a marker row that is $name is kept: $kept', async test => {
    const clock = new ManualClock();
    const table = new MemoryTable();
    table.put('marker/a', row(clock, test.age));
    table.put('other/a', row(clock, 2 * HOUR));
    table.put('marker/unreadable', 7);
    const remover = new ExpiredRowRemover({table, clock, prefix: 'marker/'});
    const removed = test.kept ? 0 : 1;
    expect(await remover.run()).toEqual({
      ok: true,
      value: {removed, finished: true},
    });
    const expected = ['marker/unreadable', 'other/a'];
    if (test.kept) expected.unshift('marker/a');
    expect(await keysOf(table)).toEqual(expected);
  });

  // Guards against runs that scan only the first page again and again.
  test('each run continues after the last row of the previous scan', async () => {
    const clock = new ManualClock();
    const table = new MemoryTable();
    for (let index = 0; index < 25; index++) {
      const age = index < 12 ? 0 : 2 * HOUR;
      table.put(`marker/${10 + index}`, row(clock, age));
    }
    const remover = new ExpiredRowRemover({
      table,
      clock,
      prefix: 'marker/',
      rowsPerRun: 10,
      rowsPerTransaction: 4,
    });
    const results = [];
    for (let run = 0; run < 3; run++) results.push(await remover.run());
    expect(results.map(result => result.ok && result.value)).toEqual([
      {removed: 0, finished: false},
      {removed: 8, finished: false},
      {removed: 5, finished: true},
    ]);
    expect((await keysOf(table)).length).toBe(12);
  });

  // Guards against deleting a marker row that was rewritten after the scan.
  test('a row that changed after the scan is kept', async () => {
    const clock = new ManualClock();
    const table = new (class extends MemoryTable {
      private interfered = false;
      override async commit(transaction: TableTransaction) {
        if (!this.interfered) this.put('marker/b', row(clock, 0));
        this.interfered = true;
        return super.commit(transaction);
      }
    })();
    for (const key of ['a', 'b', 'c']) {
      table.put(`marker/${key}`, row(clock, 2 * HOUR));
    }
    const remover = new ExpiredRowRemover({table, clock, prefix: 'marker/'});
    expect(await remover.run()).toMatchObject({value: {removed: 2}});
    expect(await keysOf(table)).toEqual(['marker/b']);
  });
});
