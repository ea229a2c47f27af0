import {describe, expect, test} from 'vitest';
import {Metrics, SILENT_LOGGER} from '../observability/mod.ts';
import {
  RateLimitedTableService,
  type ObjectStore,
  type TableTransaction,
  TransactionWriter,
} from '../stores/mod.ts';
import {failure, success} from '../errors/mod.ts';
import {ManualClock, MemoryTable, settle} from '../testing/mod.ts';
import {
  type Change,
  ChangeLog,
  changeSchema,
  encodeSnapshot,
  LogCompactor,
  logKey,
} from './mod.ts';

/** Object store in memory whose objects can be damaged by tests. */
class MemoryObjectStore implements ObjectStore {
  readonly objects = new Map<string, Uint8Array>();
  /** Modifies the content before it is stored, like a faulty disk. */
  damage: (content: Uint8Array) => Uint8Array = content => content;
  down = false;

  async get(name: string) {
    return this.down
      ? this.refuse('get_object')
      : success(this.objects.get(name));
  }
  async put(name: string, content: Uint8Array) {
    if (this.down) return this.refuse('put_object');
    this.objects.set(name, this.damage(content));
    return success(undefined);
  }
  async delete(name: string) {
    this.objects.delete(name);
    return success(undefined);
  }
  private refuse(step: 'get_object' | 'put_object') {
    const reason = 'down';
    return failure({kind: 'unavailable' as const, step, peer: 'store', reason});
  }
}

/** Table that calls `onCommit` before each commit. */
class HookedTable extends MemoryTable {
  onCommit: (transaction: TableTransaction) => Promise<void> = async () => {};

  override async commit(transaction: TableTransaction) {
    await this.onCommit(transaction);
    return super.commit(transaction);
  }
}

function createDeployment() {
  const table = new HookedTable();
  const objectStore = new MemoryObjectStore();
  const clock = new ManualClock();
  const logger = SILENT_LOGGER;
  const writer = new TransactionWriter({
    table,
    clock,
    logger,
    random: () => 0.5,
  });
  const shared = {table, objectStore, clock, logger, writer};
  return {
    ...shared,
    newLog: () => new ChangeLog(shared),
    newCompactor: (hostId: string, changeLog: ChangeLog) =>
      new LogCompactor({...shared, hostId, changeLog, entriesPerSnapshot: 10}),
  };
}

function putPool(name: string): Change {
  return changeSchema.parse({kind: 'put_pool', pool: {name, kind: 'engine'}});
}

async function submitPools(log: ChangeLog, count: number): Promise<void> {
  const first = log.authority.version;
  for (let index = first; index < first + count; index++) {
    const result = await log.submit(`c${index}`, 'op', putPool(`p${index}`));
    expect(result).toEqual({kind: 'committed', version: index + 1});
  }
}

describe('ChangeLog', () => {
  // Guards against a change that overwrites another one at the same version.
  test('concurrent writers both commit, at different versions', async () => {
    const {table, clock, newLog} = createDeployment();
    const [first, second] = [newLog(), newLog()];
    let raced = false;
    table.onCommit = async () => {
      if (raced) return;
      raced = true;
      await second.submit('b', 'op', putPool('pool-b'));
    };
    const result = await settle(clock, first.submit('a', 'op', putPool('a')));
    expect(result).toEqual({kind: 'committed', version: 2});
    await second.refresh();
    for (const log of [first, second]) {
      expect([...log.authority.pools.keys()]).toEqual(['pool-b', 'a']);
    }
  });

  test('the second of two conflicting changes is rejected', async () => {
    const {newLog} = createDeployment();
    const [first, second] = [newLog(), newLog()];
    const change: Change = {...putPool('p'), expectedRevision: null} as Change;
    expect((await first.submit('a', 'op', change)).kind).toBe('committed');
    expect(await second.submit('b', 'op', change)).toMatchObject({
      kind: 'rejected',
      rejection: {kind: 'revision_conflict', expected: null, actual: 1},
    });
    expect(second.authority.version).toBe(1);
  });

  // Guards against duplicate or lost changes when the response to a commit is
  // lost: here that to the n-th commit of the deployment.
  test.each([1, 2, 3, 4, 5, 6])('response %i is lost', async lost => {
    const {table, clock, newLog} = createDeployment();
    let commits = 0;
    table.losesAnswer = () => ++commits === lost;
    const [first, second] = [newLog(), newLog()];
    const results = await settle(
      clock,
      Promise.all([
        first.submit('a', 'op', putPool('a')),
        second.submit('b', 'op', putPool('b')),
        first.submit('c', 'op', putPool('c')),
      ]),
    );
    expect(results.map(result => result.kind)).toEqual(
      Array(3).fill('committed'),
    );
    const reader = newLog();
    await reader.refresh();
    expect(reader.authority.version).toBe(3);
    expect([...reader.authority.pools.keys()].sort()).toEqual(['a', 'b', 'c']);
  });

  test('a change id submitted through two hosts is committed once', async () => {
    const {newLog} = createDeployment();
    const [first, second] = [newLog(), newLog()];
    const submit = (log: ChangeLog) => log.submit('a', 'op', putPool('p'));
    await submit(first);
    await first.submit('b', 'op', putPool('q'));
    expect(await submit(second)).toEqual({kind: 'committed', version: 1});
    expect(second.authority.version).toBe(2);
  });

  test('a submission while the table is unavailable has no effect', async () => {
    const {table, newLog} = createDeployment();
    const log = newLog();
    table.down = true;
    const result = await log.submit('a', 'op', putPool('p'));
    expect(result).toMatchObject({kind: 'unavailable'});
    table.down = false;
    expect(await log.refresh()).toEqual({ok: true, value: 0});
  });

  // Guards against a host that applies an entry it can only partially parse.
  const unreadable: {name: string; entry: object}[] = [
    {name: 'a newer format', entry: {format: 2}},
    {name: 'an unknown field', entry: {signature: 'x'}},
    {name: 'an unknown kind', entry: {change: {kind: 'put_robot'}}},
    {
      name: 'an unknown field of a change',
      entry: {change: {...putPool('p'), colour: 'red'}},
    },
    {
      name: 'a change that does not apply',
      entry: {change: {kind: 'remove_pool', name: 'nothing'}},
    },
  ];
  test.each(unreadable)('stops at an entry with $name', async ({entry}) => {
    const {table, newLog} = createDeployment();
    const log = newLog();
    await submitPools(log, 1);
    table.put('head', {version: 2});
    table.put(logKey(2), {
      format: 1,
      version: 2,
      changeId: 'x',
      author: 'op',
      committedAt: '2030-01-01T00:00:00.000Z',
      change: putPool('p'),
      ...entry,
    });
    const error = {kind: 'invalid_answer'};
    expect(await log.refresh()).toMatchObject({ok: false, error});
    const result = await log.submit('y', 'op', putPool('y'));
    expect(result).toMatchObject({kind: 'unavailable', error});
    expect(log.authority.version).toBe(1);
  });

  test.each([{version: -1}, {}, 'x', null])(
    'an unreadable head row %j is an error',
    async head => {
      const {table, newLog} = createDeployment();
      table.put('head', head);
      expect(await newLog().refresh()).toMatchObject({
        ok: false,
        error: {kind: 'invalid_answer'},
      });
    },
  );

  // Guards against a host that returns to an older version (I11).
  test('never returns to an older version', async () => {
    const {table, newLog} = createDeployment();
    const [old, log] = [newLog(), newLog()];
    await submitPools(old, 2);
    await log.refresh();
    await submitPools(log, 3);
    const versions: number[] = [];
    log.subscribe(authority => versions.push(authority.version));
    log.installSnapshot(old.authority);
    log.applyEntries(old.entriesAfter(0)!);
    table.put('head', {version: 2});
    expect(await log.refresh()).toEqual({ok: true, value: 2});
    expect(log.authority.version).toBe(5);
    expect(versions).toEqual([]);
  });
});

describe('LogCompactor', () => {
  async function createCompactedDeployment(snapshots: number) {
    const deployment = createDeployment();
    const log = deployment.newLog();
    const compactor = deployment.newCompactor('host-1', log);
    const results = [];
    for (let round = 0; round < snapshots; round++) {
      await submitPools(log, 10);
      results.push(await compactor.run());
    }
    return {...deployment, log, compactor, results};
  }

  test('keeps the rows after the previous snapshot', async () => {
    const {table, objectStore, compactor, results} =
      await createCompactedDeployment(3);
    expect(results.map(result => result.ok && result.value)).toEqual([
      {kind: 'compacted', version: 10, removedRows: 0},
      {kind: 'compacted', version: 20, removedRows: 10},
      {kind: 'compacted', version: 30, removedRows: 10},
    ]);
    const rows = await table.scan('log/');
    expect(rows.ok && rows.value.map(({key}) => key)).toEqual(
      Array.from({length: 10}, (_, index) => logKey(21 + index)),
    );
    const names = [...objectStore.objects.keys()];
    expect(names.filter(name => /-(20|30)-/.test(name)).length).toBe(2);
    expect(names.length).toBe(3);
    expect(await compactor.run()).toEqual({ok: true, value: {kind: 'not_due'}});
  });

  const starts: {
    name: string;
    damage: (
      deployment: Awaited<ReturnType<typeof createCompactedDeployment>>,
      latest: string,
    ) => void;
    readable: boolean;
  }[] = [
    {name: 'all objects are valid', damage: () => {}, readable: true},
    {
      name: 'the latest object is missing',
      damage: ({objectStore}, latest) => objectStore.objects.delete(latest),
      readable: true,
    },
    {
      name: 'the digest of the latest object does not match',
      damage: ({objectStore}, latest) => {
        objectStore.objects.get(latest)![100]! ^= 1;
      },
      readable: true,
    },
    {
      name: 'the latest object contains another version',
      damage: ({objectStore, log}, latest) =>
        objectStore.objects.set(
          latest,
          encodeSnapshot({...log.authority, version: 29}),
        ),
      readable: true,
    },
    {
      name: 'the object store is unavailable',
      damage: ({objectStore}) => {
        objectStore.down = true;
      },
      readable: false,
    },
  ];
  // Guards against loss of the state when one snapshot cannot be read.
  test.each(starts)('a new host starts when $name: $readable', async start => {
    const deployment = await createCompactedDeployment(3);
    const latest = [...deployment.objectStore.objects.keys()].find(name =>
      name.startsWith('authority-snapshot-30-'),
    )!;
    start.damage(deployment, latest);
    const log = deployment.newLog();
    expect((await log.refresh()).ok).toBe(start.readable);
    if (!start.readable) {
      expect(log.authority.version).toBe(0);
      return;
    }
    expect(encodeSnapshot(log.authority)).toEqual(
      encodeSnapshot(deployment.log.authority),
    );
  });

  test('a host starts from the catalog copy while the table is unavailable', async () => {
    const {table, newLog} = await createCompactedDeployment(1);
    table.down = true;
    const log = newLog();
    await log.loadSnapshot();
    expect(log.authority.version).toBe(10);
  });

  // Guards against the removal of rows when the new snapshot is damaged.
  test('removes no rows when the object cannot be read back', async () => {
    const deployment = await createCompactedDeployment(2);
    await submitPools(deployment.log, 10);
    deployment.objectStore.damage = content => content.slice(1);
    expect(await deployment.compactor.run()).toMatchObject({
      ok: false,
      error: {kind: 'invalid_answer', step: 'get_object'},
    });
    const log = deployment.newLog();
    await log.refresh();
    expect(log.authority.version).toBe(30);
  });

  test('one host at a time writes, until its claim times out', async () => {
    const {table, objectStore, clock, log, newCompactor} =
      await createCompactedDeployment(1);
    await submitPools(log, 10);
    // The first host claims the writing and then fails.
    objectStore.down = true;
    expect((await newCompactor('host-2', log).run()).ok).toBe(false);
    objectStore.down = false;
    const compactor = newCompactor('host-3', log);
    expect(await compactor.run()).toEqual({
      ok: true,
      value: {kind: 'claimed_elsewhere'},
    });
    clock.advance(60_000);
    // The claim of a paused host is taken over before it replaces the catalog.
    let overtaken = false;
    table.onCommit = async ({writes}) => {
      const releasesClaim = JSON.stringify(writes).includes('"writer":null');
      if (!releasesClaim || overtaken) return;
      overtaken = true;
      clock.advance(60_000);
      const other = await newCompactor('host-4', log).run();
      expect(other).toMatchObject({ok: true, value: {kind: 'compacted'}});
    };
    expect(await compactor.run()).toEqual({
      ok: true,
      value: {kind: 'claimed_elsewhere'},
    });
    expect(overtaken).toBe(true);
  });
});

test('a long series of changes is delayed by the budget, not refused', async () => {
  const {table, objectStore, clock, logger} = createDeployment();
  const budgeted = new RateLimitedTableService({
    table,
    clock,
    metrics: new Metrics(),
    purpose: 'control',
    readsPerSecond: 20,
    writesPerSecond: 10,
    burstSeconds: 1,
  });
  const writer = new TransactionWriter({table: budgeted, clock, logger});
  const log = new ChangeLog({
    table: budgeted,
    objectStore,
    clock,
    logger,
    writer,
  });
  await settle(clock, submitPools(log, 20));
  expect(log.authority.version).toBe(20);
});
