import {
  type TableService,
  type TableTransaction,
  TransactionWriter,
} from '../src/stores/mod.ts';
import {SILENT_LOGGER} from '../src/observability/mod.ts';
import {ManualClock} from '../src/testing/mod.ts';
import {advanceUntilSettled} from './_advance_until_settled.ts';
import {LossyTable} from './_lossy_table.ts';
import {SeededRandom} from './_seeded_random.ts';
import {atMost} from './_target.ts';
import type {Scenario} from './scenario.ts';

/** What a writer reports about one operation. */
type Report = 'committed' | 'failed' | 'uncertain';

/** Submits one transaction; after a `conflict` it may be prepared anew. */
type Submit = (
  operation: string,
  transaction: TableTransaction,
) => Promise<Report | 'conflict'>;

interface Strategy {
  readonly name: string;
  readonly create: (table: LossyTable, clock: ManualClock) => Submit;
}

/** Ways to treat a lost answer. */
const STRATEGIES: readonly Strategy[] = [
  {
    name: 'marker',
    create: (table, clock) => {
      const writer = new TransactionWriter({
        table,
        clock,
        logger: SILENT_LOGGER,
        random: () => 0.5,
      });
      return async (operation, transaction) => {
        const result = await writer.write(operation, transaction);
        return result.kind === 'unavailable' ? 'failed' : result.kind;
      };
    },
  },
  {
    // Reads again and submits a new transaction.
    name: 'naiveRetry',
    create: table => async (_operation, transaction) => {
      const result = await table.commit(transaction);
      if (result.kind === 'unavailable') return 'failed';
      return result.kind === 'uncertain' ? 'conflict' : result.kind;
    },
  },
  {
    name: 'treatAsFailed',
    create: table => async (_operation, transaction) => {
      const result = await table.commit(transaction);
      return result.kind === 'committed' || result.kind === 'conflict'
        ? result.kind
        : 'failed';
    },
  },
  {
    // Looks for the effect once, and submits a new transaction if it is absent.
    name: 'lookThenRetry',
    create: table => async (operation, transaction) => {
      const result = await table.commit(transaction);
      if (result.kind === 'unavailable') return 'failed';
      if (result.kind !== 'uncertain') return result.kind;
      const rows = await table.scan(`effect/${operation}/`);
      return rows.ok && rows.value.length > 0 ? 'committed' : 'conflict';
    },
  },
];

interface Outcome {
  readonly operations: number;
  /** Reported as committed, without an effect. */
  readonly lost: number;
  /** More than one effect of one operation. */
  readonly doubled: number;
  /** Reported as failed, with an effect. */
  readonly wronglyFailed: number;
  readonly uncertain: number;
  readonly commitsPerOperation: number;
}

const COUNTERS = 16;
const SLOTS = 8;
const SLOT_MILLISECONDS = 40;
const MAXIMUM_ATTEMPTS = 200;
const LATEST_ARRIVAL_MILLISECONDS = 2000;

/** Operations, by the condition that their transaction has. */
const OPERATION_KINDS = ['increment', 'append', 'reserve'] as const;

interface Conditions {
  readonly transaction: TableTransaction;
  /** Whether a conflict ends the operation instead of a new attempt. */
  readonly conflictIsFinal: boolean;
}

/** Prepares one attempt: reads what the transaction is conditional on. */
async function prepare(
  table: TableService,
  kind: (typeof OPERATION_KINDS)[number],
  place: number,
): Promise<Conditions | undefined> {
  switch (kind) {
    case 'increment': {
      const key = `counter/${place % COUNTERS}`;
      const rows = await table.read([key]);
      if (!rows.ok) return undefined;
      const row = rows.value[0];
      const value = typeof row?.value === 'number' ? row.value + 1 : 1;
      const transaction: TableTransaction = {
        conditions: [{key, version: row?.version ?? null}],
        writes: [{kind: 'put', key, value}],
      };
      return {transaction, conflictIsFinal: false};
    }
    case 'append':
      return {
        transaction: {conditions: [], writes: []},
        conflictIsFinal: false,
      };
    case 'reserve': {
      const key = `slot/${place % SLOTS}`;
      const transaction: TableTransaction = {
        conditions: [{key, version: null}],
        writes: [{kind: 'put', key, value: 1}],
      };
      return {transaction, conflictIsFinal: true};
    }
  }
}

/** One writer: runs its operations one after the other. */
async function runWriter(
  table: LossyTable,
  submit: Submit,
  random: SeededRandom,
  operations: readonly string[],
  reports: Map<string, Report>,
): Promise<void> {
  for (const operation of operations) {
    const kind = random.pick(OPERATION_KINDS);
    const place = random.integer(0, COUNTERS * SLOTS);
    let report: Report | 'conflict' = 'conflict';
    for (
      let attempt = 0;
      attempt < MAXIMUM_ATTEMPTS && report === 'conflict';
      attempt++
    ) {
      const prepared = await prepare(table, kind, place);
      if (prepared === undefined) continue;
      const {conditions, writes} = prepared.transaction;
      const effect = `effect/${operation}/${attempt}`;
      report = await submit(operation, {
        conditions,
        writes: [...writes, {kind: 'put', key: effect, value: 1}],
      });
      if (report === 'conflict' && prepared.conflictIsFinal) report = 'failed';
    }
    if (kind === 'reserve') {
      table.deleteLater(`slot/${place % SLOTS}`, SLOT_MILLISECONDS);
    }
    reports.set(operation, report === 'conflict' ? 'failed' : report);
  }
}

async function measure(
  strategy: Strategy,
  options: {seed: number; writers: number; operations: number; share: number},
): Promise<Outcome> {
  const clock = new ManualClock();
  const random = new SeededRandom(options.seed);
  const table = new LossyTable({
    clock,
    random,
    lostAnswers: options.share,
    latestArrivalMilliseconds: LATEST_ARRIVAL_MILLISECONDS,
  });
  const submit = strategy.create(table, clock);
  const reports = new Map<string, Report>();
  const writers = Array.from({length: options.writers}, async (_, writer) => {
    const names = Array.from(
      {length: options.operations},
      (_unused, index) => `w${writer}-${index}`,
    );
    await runWriter(table, submit, random, names, reports);
  });
  await advanceUntilSettled(clock, Promise.all(writers));
  // Delayed commits still arrive after the last answer.
  await clock.advanceAsync(2 * LATEST_ARRIVAL_MILLISECONDS);

  const outcome = {lost: 0, doubled: 0, wronglyFailed: 0, uncertain: 0};
  for (const [operation, report] of reports) {
    const rows = await table.scan(`effect/${operation}/`);
    const effects = rows.ok ? rows.value.length : 0;
    if (report === 'committed' && effects === 0) outcome.lost++;
    if (report === 'failed' && effects > 0) outcome.wronglyFailed++;
    if (report === 'uncertain') outcome.uncertain++;
    outcome.doubled += Math.max(0, effects - 1);
  }
  const operations = reports.size;
  return {
    operations,
    ...outcome,
    commitsPerOperation: table.commits / operations,
  };
}

/** Lost and doubled effects with and without marker rows. */
export const UNCERTAIN_TRANSACTIONS: Scenario = {
  name: 'uncertain-transactions',
  description:
    'Lost and doubled effects when answers of the table are lost. Options: writers (8), operations per writer (250), share of lost answers (0.1).',
  run: async ({seed, options, emit}) => {
    const settings = {
      seed,
      writers: Number(options['writers'] ?? 8),
      operations: Number(options['operations'] ?? 250),
      share: Number(options['share'] ?? 0.1),
    };
    const outcomes = new Map<string, Outcome>();
    for (const strategy of STRATEGIES) {
      const outcome = await measure(strategy, settings);
      outcomes.set(strategy.name, outcome);
      emit({strategy: strategy.name, ...outcome});
    }
    const marker = outcomes.get('marker')!;
    const baselines: Record<string, number> = {};
    for (const [name, outcome] of outcomes) {
      if (name === 'marker') continue;
      baselines[`${name}.lost`] = outcome.lost;
      baselines[`${name}.doubled`] = outcome.doubled;
      baselines[`${name}.wronglyFailed`] = outcome.wronglyFailed;
      baselines[`${name}.commitsPerOperation`] = outcome.commitsPerOperation;
    }
    return {
      targets: [
        atMost('lost effects', 'operations', 0, marker.lost),
        atMost('doubled effects', 'operations', 0, marker.doubled),
        atMost('wrongly failed', 'operations', 0, marker.wronglyFailed),
      ],
      baselines,
      figures: {
        operations: marker.operations,
        uncertain: marker.uncertain,
        commitsPerOperation: marker.commitsPerOperation,
      },
    };
  },
};
