/**
 * Cost of recording the software versions of streams, in calls to the store and bytes.
 *
 * `npx tsx bench/stream_origin_cost.ts --hosts N --streams S --seconds T` lets N hosts
 * begin S streams a second in all, evenly spaced, on a store in memory whose
 * transactions take 4 ms.
 */
import {performance} from 'node:perf_hooks';
import {Command} from 'commander';
import {success} from '../src/errors/mod.ts';
import {Metrics, SILENT_LOGGER} from '../src/observability/mod.ts';
import {
  type Row,
  type RowChange,
  type RowStore,
  StoreClock,
  StoreEra,
} from '../src/stores/mod.ts';
import {OriginStore, StreamOrigins} from '../src/streams/mod.ts';
import {SystemClock} from '../src/time/mod.ts';

const CALL_MILLISECONDS = 4;
const SERVICE = 'engines';
const STREAM_MILLISECONDS = 12_000;

const flags = new Command()
  .requiredOption('--hosts <number>', 'number of hosts', Number)
  .requiredOption('--streams <number>', 'streams a second of all hosts', Number)
  .option('--seconds <number>', 'duration', Number, 10)
  .option('--versions <number>', 'software versions in service', Number, 2)
  .parse()
  .opts<{hosts: number; streams: number; seconds: number; versions: number}>();

const clock = new SystemClock();
const rows = new Map<string, Row>();
const counts = {writes: 0, reads: 0, writtenBytes: 0, readBytes: 0};
let version = 0;

const store: RowStore = {
  async readTable() {
    await pause(CALL_MILLISECONDS);
    counts.reads++;
    const all = [...rows.values()];
    for (const {value} of all) counts.readBytes += value?.length ?? 0;
    return success({...head(), rows: all});
  },
  followTable: () => store.readTable(''),
  async commit([change]: readonly RowChange[]) {
    await pause(CALL_MILLISECONDS);
    counts.writes++;
    version++;
    const {key = '', value} = change ?? {};
    counts.writtenBytes += value?.length ?? 0;
    rows.set(key, {key, value, version});
    return success({kind: 'committed' as const, ...head()});
  },
};

function head() {
  return {version, era: 0, storeMilliseconds: clock.monotonicMilliseconds()};
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

const hosts = Array.from({length: flags.hosts}, (_unused, index) => {
  const storeEra = new StoreEra();
  const storeClock = new StoreClock({clock});
  const versions = new Set(
    Array.from({length: flags.versions}, (_none, number) => `v${number}`),
  );
  return new StreamOrigins({
    store: new OriginStore({store, clock, storeClock, storeEra}),
    ...{clock, storeClock, storeEra},
    logger: SILENT_LOGGER,
    metrics: new Metrics(),
    hostId: `host-${index}`,
    incarnation: `process-${index}`,
    versionsOf: () => versions,
    longestStreamMilliseconds: () => 60_000,
    listedHosts: () => undefined,
    connectedPeers: () => [],
    send: () => false,
    random: Math.random,
  });
});

const total = flags.streams * flags.seconds;
const waits: number[] = [];
const startedAt = performance.now();
const cpuBefore = process.cpuUsage();
for (let index = 0; index < total; index++) {
  const dueAt = startedAt + (index * 1000) / flags.streams;
  const left = dueAt - performance.now();
  if (left > 0) await pause(left);
  const beganAt = performance.now();
  const stream = {
    key: `stream-${String(index).padStart(9, '0')}`,
    service: SERVICE,
    livesUntil: clock.monotonicMilliseconds() + STREAM_MILLISECONDS,
  };
  const recorded = hosts[index % hosts.length]?.begin(stream, 'v0');
  void recorded?.then(() => waits.push(performance.now() - beganAt));
}
await pause(500);
const cpu = process.cpuUsage(cpuBefore);
const perSecond = (count: number) => Math.round(count / flags.seconds);
waits.sort((left, right) => left - right);
process.stdout.write(
  `${JSON.stringify({
    ...flags,
    writesPerSecond: perSecond(counts.writes),
    reads: counts.reads,
    writtenBytesPerSecond: perSecond(counts.writtenBytes),
    largestPageBytes: Math.max(
      ...[...rows.values()].map(({value}) => value?.length ?? 0),
    ),
    tableBytes: [...rows.values()].reduce(
      (sum, {value}) => sum + (value?.length ?? 0),
      0,
    ),
    waitedMilliseconds: {
      median: Math.round(waits[Math.floor(waits.length / 2)] ?? 0),
      p99: Math.round(waits[Math.floor(waits.length * 0.99)] ?? 0),
    },
    processorMillisecondsPerStream: Number(
      ((cpu.user + cpu.system) / 1000 / total).toFixed(3),
    ),
  })}\n`,
);
process.exit();
