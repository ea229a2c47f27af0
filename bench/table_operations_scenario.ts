import {ChangeLog, type LogEntry} from '../src/contracts/mod.ts';
import {SILENT_LOGGER} from '../src/observability/mod.ts';
import {type ObjectStore, TransactionWriter} from '../src/stores/mod.ts';
import {success} from '../src/errors/mod.ts';
import {ManualClock} from '../src/testing/mod.ts';
import {advanceUntilSettled} from './_advance_until_settled.ts';
import {createChanges, TARGET_SIZE} from './_build_authority.ts';
import {DurationHistogram} from './_duration_histogram.ts';
import {LossyTable} from './_lossy_table.ts';
import {SeededRandom} from './_seeded_random.ts';
import {atMost} from './_target.ts';
import type {Scenario} from './scenario.ts';

const WRITER_COUNTS = [1, 2, 4, 8, 16];
const CHANGES_PER_WRITER = 20;

const EMPTY_STORE: ObjectStore = {
  get: async () => success(undefined),
  put: async () => success(undefined),
  delete: async () => success(undefined),
};

interface Contention {
  readonly writers: number;
  readonly rowsReadPerChange: number;
  readonly commitsPerChange: number;
  readonly rowsWrittenPerChange: number;
  readonly changesPerSecond: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
}

function createLogs(seed: number, count: number) {
  const clock = new ManualClock();
  const random = new SeededRandom(seed);
  const table = new LossyTable({
    clock,
    random,
    lostAnswers: 0,
    latestArrivalMilliseconds: 0,
  });
  const logs = Array.from({length: count}, () => {
    const shared = {table, clock, logger: SILENT_LOGGER};
    const writer = new TransactionWriter({...shared, random: () => 0.5});
    return new ChangeLog({...shared, objectStore: EMPTY_STORE, writer});
  });
  return {clock, table, logs};
}

/** Hosts that submit changes one after the other, all at the same time. */
async function measureContention(
  seed: number,
  writers: number,
): Promise<Contention> {
  const {clock, table, logs} = createLogs(seed, writers);
  const changes = createChanges(TARGET_SIZE);
  const times = new DurationHistogram();
  const finished = logs.map(async (log, host) => {
    for (let index = 0; index < CHANGES_PER_WRITER; index++) {
      const startedAt = clock.monotonicMilliseconds();
      const id = `${host}-${index}`;
      const change = changes.lease(host * CHANGES_PER_WRITER + index);
      const result = await log.submit(id, 'bench', change);
      if (result.kind !== 'committed') throw new Error(result.kind);
      times.record(clock.monotonicMilliseconds() - startedAt);
    }
  });
  await advanceUntilSettled(clock, Promise.all(finished));
  const count = writers * CHANGES_PER_WRITER;
  const {p50, p99} = times.percentiles();
  return {
    writers,
    rowsReadPerChange: table.rowsRead / count,
    commitsPerChange: table.commits / count,
    rowsWrittenPerChange: table.rowsWritten / count,
    changesPerSecond: (count * 1000) / clock.monotonicMilliseconds(),
    p50Milliseconds: p50,
    p99Milliseconds: p99,
  };
}

/** Rows read by a host that polls the head and follows all changes. */
async function measureFollower(seed: number) {
  const {clock, table, logs} = createLogs(seed, 2);
  const [writer, follower] = logs as [ChangeLog, ChangeLog];
  const changes = createChanges(TARGET_SIZE);
  const idleStart = table.rowsRead;
  await advanceUntilSettled(clock, follower.refresh());
  const rowsPerIdlePoll = table.rowsRead - idleStart;
  const count = 200;
  for (let index = 0; index < count; index++) {
    const change = changes.lease(index);
    await advanceUntilSettled(
      clock,
      writer.submit(`f-${index}`, 'bench', change),
    );
  }
  const followStart = table.rowsRead;
  await advanceUntilSettled(clock, follower.refresh());
  const rowsPerFollowedChange = (table.rowsRead - followStart) / count;
  return {rowsPerIdlePoll, rowsPerFollowedChange};
}

/** Bytes of a log row, by the kind of the change. */
function entryBytes(): Record<string, number> {
  const changes = createChanges(TARGET_SIZE);
  const sizes: Record<string, number> = {};
  for (const [kind, create] of Object.entries(changes)) {
    const entry: LogEntry = {
      format: 1,
      version: 1_000_000,
      changeId: '0b9f2c52-7a2e-4f3c-9f0e-2f2f0f3f9c11',
      author: 'operator-1',
      committedAt: '2030-01-01T00:00:00.000Z',
      change: create(1),
    };
    sizes[`entryBytes.${kind}`] = JSON.stringify(entry).length;
  }
  return sizes;
}

/** Reads, writes and bytes that one change costs. */
export const TABLE_OPERATIONS: Scenario = {
  name: 'table-operations',
  description:
    'Table rows read and written for each change with 1 to 16 racing hosts, for each poll of the head, and bytes of log rows.',
  run: async ({seed, emit}) => {
    const rows: Contention[] = [];
    for (const writers of WRITER_COUNTS) {
      const row = await measureContention(seed, writers);
      rows.push(row);
      emit({...row});
    }
    const alone = rows[0]!;
    const last = rows.at(-1)!;
    const follower = await measureFollower(seed);
    return {
      targets: [
        atMost(
          'rows written for each change',
          'rows',
          4,
          last.rowsWrittenPerChange,
        ),
        atMost(
          'rows read by an idle poll',
          'rows',
          1,
          follower.rowsPerIdlePoll,
        ),
      ],
      baselines: {},
      figures: {
        rowsReadPerChangeAlone: alone.rowsReadPerChange,
        commitsPerChangeAlone: alone.commitsPerChange,
        changesPerSecondAlone: alone.changesPerSecond,
        rowsReadPerChangeOf16: last.rowsReadPerChange,
        commitsPerChangeOf16: last.commitsPerChange,
        changesPerSecondOf16: last.changesPerSecond,
        p99MillisecondsOf16: last.p99Milliseconds,
        ...follower,
        ...entryBytes(),
      },
    };
  },
};
