import {Command} from 'commander';
import {ChangeLog} from '../src/contracts/mod.ts';
import {success} from '../src/errors/mod.ts';
import {LeaseManager} from '../src/leases/mod.ts';
import {Membership} from '../src/membership/mod.ts';
import {SILENT_LOGGER} from '../src/observability/mod.ts';
import {encodePeerFrame, listeningPort, PeerNetwork} from '../src/peers/mod.ts';
import {TransactionWriter} from '../src/stores/mod.ts';
import {MemoryTable} from '../src/testing/memory_table.ts';
import {sleep, SystemClock} from '../src/time/mod.ts';

/**
 * Bytes of the headers around one message: WebSocket with mask, TCP with time
 * stamps and IPv4.
 */
const HEADER_BYTES = 6 + 32 + 20;

/** One message in this many is encoded to learn the size of its kind. */
const SIZE_SAMPLE = 50;

const clock = new SystemClock();
const logger = SILENT_LOGGER;
const table = new MemoryTable();
const objectStore = {
  get: async () => success(undefined),
  put: async () => success(undefined),
  delete: async () => success(undefined),
};
const hostList = {list: async () => success([])};

/** Messages of one kind. */
interface Traffic {
  count: number;
  samples: number;
  sampleBytes: number;
}
const traffic = new Map<string, Traffic>();

async function startHost(index: number) {
  const server = await PeerNetwork.listen({
    address: '127.0.0.1',
    port: 0,
    clock: new SystemClock(),
    logger: SILENT_LOGGER,
  });
  const port = listeningPort(server);
  const network = new PeerNetwork({
    self: {
      hostId: `host-${index}`,
      incarnation: `run-${index}`,
      dataCentre: `centre-${index % 3}`,
      peerAddress: `ws://127.0.0.1:${port}`,
      callerAddress: `http://127.0.0.1:${port}`,
    },
    deployment: 'bench',
    clock,
    logger,
  });
  const send = network.send.bind(network);
  network.send = (hostId, message) => {
    const known = traffic.get(message.kind);
    const seen = known ?? {count: 0, samples: 0, sampleBytes: 0};
    if (seen.count++ % SIZE_SAMPLE === 0) {
      seen.samples++;
      seen.sampleBytes += encodePeerFrame(message).length;
    }
    traffic.set(message.kind, seen);
    return send(hostId, message);
  };
  network.start(server);
  const writer = new TransactionWriter({table, clock, logger});
  const changeLog = new ChangeLog({
    ...{table, objectStore, writer, clock, logger},
  });
  const parts = {channel: network, changeLog, clock, logger};
  const membership = new Membership({...parts, hostList});
  const {view, effect, heartbeats, stoppedMembers} = membership;
  const leases = new LeaseManager({
    ...{...parts, view, effect, heartbeats, stoppedMembers},
  });
  const connect = () => network.setAddresses(heartbeats.peerAddresses());
  changeLog.subscribe(connect);
  membership.start();
  for (let scope = 0; scope < 10; scope++) leases.addScope(`team:${scope}`);
  leases.start();
  return {changeLog, membership, leases, network};
}

async function measure(hostCount: number, seconds: number): Promise<void> {
  const hosts = await Promise.all(
    Array.from({length: hostCount}, (_, index) => startHost(index)),
  );
  const ready = () =>
    hosts.every(
      ({changeLog, membership}) =>
        changeLog.authority.members.size === hostCount &&
        membership.view.isConfirmed() &&
        membership.effect.inEffectVersion() >=
          changeLog.authority.memberVersion,
    );
  const giveUpAt = clock.monotonicMilliseconds() + 60_000;
  while (!ready() && clock.monotonicMilliseconds() < giveUpAt) {
    await sleep(clock, 100);
  }
  if (!ready()) throw new Error(`${hostCount} hosts did not become members`);
  await sleep(clock, 3000);
  traffic.clear();
  const startedAt = clock.monotonicMilliseconds();
  const startedUsage = process.cpuUsage();
  await sleep(clock, seconds * 1000);
  const usage = process.cpuUsage(startedUsage);
  const spent = clock.monotonicMilliseconds() - startedAt;
  let messages = 0;
  let bytes = 0;
  for (const {count, samples, sampleBytes} of traffic.values()) {
    messages += count;
    bytes += count * (sampleBytes / samples + HEADER_BYTES);
  }
  const perHostSecond = (total: number) => total / hostCount / (spent / 1000);
  const corePercent =
    ((usage.user + usage.system) / 1000 / spent / hostCount) * 100;
  process.stdout.write(
    JSON.stringify({
      hostCount,
      seconds,
      messagesPerHostSecond: Number(perHostSecond(messages).toFixed(1)),
      kilobytesSentPerHostSecond: Number(
        (perHostSecond(bytes) / 1000).toFixed(2),
      ),
      corePercentPerHost: Number(corePercent.toFixed(2)),
    }) + '\n',
  );
  for (const {membership, leases, network} of hosts) {
    leases.stop();
    membership.stop();
    await network.stop();
  }
}

const command = new Command('membership_cost')
  .description('Measures what heartbeats, views and leases cost a host')
  .option('--hosts <count>', 'hosts in this process', '8')
  .option('--seconds <count>', 'length of the measurement', '20')
  .parse();
const flags = command.opts<{hosts: string; seconds: string}>();
await measure(Number(flags.hosts), Number(flags.seconds));
