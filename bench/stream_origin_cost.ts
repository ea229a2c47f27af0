/**
 * Cost of recording the software versions of streams, in calls to the store and bytes.
 *
 * `npx tsx bench/stream_origin_cost.ts --hosts N --streams S --seconds T` lets N hosts
 * begin S streams a second in all, evenly spaced, on a store in memory whose
 * transactions take 4 ms. With `--turned-away N`, the store refuses the calls of N hosts,
 * whose streams their peers record.
 */
import {performance} from 'node:perf_hooks';
import {Command} from 'commander';
import {failure, success} from '../src/errors/mod.ts';
import {Metrics, SILENT_LOGGER} from '../src/observability/mod.ts';
import {encodePeerFrame, type PeerMessage} from '../src/peers/mod.ts';
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
const MESSAGE_MILLISECONDS = 1;
const SERVICE = 'engines';
const STREAM_MILLISECONDS = 12_000;

const flags = new Command()
  .requiredOption('--hosts <number>', 'number of hosts', Number)
  .requiredOption('--streams <number>', 'streams a second of all hosts', Number)
  .option('--seconds <number>', 'duration', Number, 10)
  .option('--versions <number>', 'software versions in service', Number, 2)
  .option('--turned-away <number>', 'hosts that the store refuses', Number, 0)
  .parse()
  .opts<{
    hosts: number;
    streams: number;
    seconds: number;
    versions: number;
    turnedAway: number;
  }>();

const clock = new SystemClock();
const rows = new Map<string, Row>();
const counts = {writes: 0, reads: 0, writtenBytes: 0, readBytes: 0};
const peerCounts = {messages: 0, bytes: 0};
let refused = 0;
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

const away = failure({
  kind: 'unavailable',
  step: 'commit',
  peer: 'store',
  reason: 'turned away',
  mayHaveHappened: false,
} as const);

const refusing: RowStore = {
  readTable: async () => {
    await pause(CALL_MILLISECONDS);
    return away;
  },
  followTable: async () => {
    await pause(CALL_MILLISECONDS);
    return away;
  },
  commit: async () => {
    await pause(CALL_MILLISECONDS);
    return away;
  },
};

function sendFrom(from: number, to: string, message: PeerMessage): boolean {
  peerCounts.messages++;
  peerCounts.bytes += encodePeerFrame(message).length;
  void pause(MESSAGE_MILLISECONDS).then(() => {
    const receiver = hosts[Number(to.slice('host-'.length))];
    const sender = `host-${from}`;
    if (message.kind === 'origin_request') receiver?.answer(sender, message);
    if (message.kind === 'origin_reply') receiver?.receive(sender, message);
  });
  return true;
}

function head() {
  return {version, era: 0, storeMilliseconds: clock.monotonicMilliseconds()};
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

const hosts: StreamOrigins[] = Array.from(
  {length: flags.hosts},
  (_unused, index) => {
    const storeEra = new StoreEra();
    const storeClock = new StoreClock({clock});
    const versions = new Set(
      Array.from({length: flags.versions}, (_none, number) => `v${number}`),
    );
    return new StreamOrigins({
      store: new OriginStore({
        store: index < flags.turnedAway ? refusing : store,
        ...{clock, storeClock, storeEra},
      }),
      ...{clock, storeClock, storeEra},
      logger: SILENT_LOGGER,
      metrics: new Metrics(),
      hostId: `host-${index}`,
      incarnation: `process-${index}`,
      versionsOf: () => versions,
      longestStreamMilliseconds: () => 60_000,
      listedHosts: () => undefined,
      connectedPeers: () =>
        hosts
          .map((_host, peer) => `host-${peer}`)
          .filter(id => id !== `host-${index}`),
      send: (to, message) => sendFrom(index, to, message),
      random: Math.random,
    });
  },
);

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
  void recorded?.then(mayBegin => {
    if (!mayBegin) refused++;
    waits.push(performance.now() - beganAt);
  });
}
await pause(1500);
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
    messagesPerSecond: perSecond(peerCounts.messages),
    messageBytesPerSecond: perSecond(peerCounts.bytes),
    refused,
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
