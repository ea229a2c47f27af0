import {PlatformStoreStandIn} from '../../src/testing/platform_store_stand_in.ts';
import {sendRequest} from '../support-3/client.ts';
import {
  configuration,
  ENGINE_SERVICE,
  KEY,
} from '../support-3/configuration.ts';
import {BOUNDS, type Host, Hosts, pause} from '../support-3/hosts.ts';
import {HAS_TROUBLE, runCase} from '../support-3/record.ts';
import {type ModelSizes, ServerStandIn} from '../support-3/server.ts';

const HOSTS = 4;

/** Engines; a release has replaced all but one of them before. */
const ENGINES = 6;

const MODEL = 'model-a';

const SIZES: ReadonlyMap<string, ModelSizes> = new Map([
  [MODEL, {megabytes: 16_100, adapterMegabytes: 14}],
]);

/** A stream lasts five seconds. */
const EVENTS = 25;
const EVENT_MILLISECONDS = 200;

/** Interval between two new streams, over all hosts. */
const STREAM_MILLISECONDS = 60;

const DEADLINE_MILLISECONDS = 20_000;

/** Streams that have to be taken up for the rule to apply. */
const FEWEST_TAKEN_UP = 12;

/** Time after the loss of a host in which new streams are counted. */
const COUNTED_MILLISECONDS = 5000;

/** Time before each try of a client to take its stream up. */
const TAKE_UP_MILLISECONDS: readonly number[] = [0, 500, 1000];

interface Stream {
  readonly begunAt: number;
  /** Host of its first try. */
  readonly host: string;
  /** Last event of its first try. */
  lastEvent: number;
  /** Engine version of its events. */
  version: string;
  takenUpAt: number | undefined;
  /** Whether the host of the second try was in touch. */
  wasInTouch: boolean;
  status: number;
  /** Whether events came after it was taken up. */
  wentOn: boolean;
}

await runCase(async record => {
  const store = await PlatformStoreStandIn.start();
  store.put(
    'op',
    'config',
    configuration({
      sizes: SIZES,
      weightsMegabytes: 83_000,
      adapterCapacity: 8,
    }),
  );
  const startEngine = async (version: string, models: readonly string[]) => {
    const engine = new ServerStandIn({
      service: ENGINE_SERVICE,
      store,
      slots: 64,
      version,
      models,
      sizes: SIZES,
      weightsMegabytes: 83_000,
      adapterCapacity: 8,
      runMilliseconds: 30,
      events: EVENTS,
      eventMilliseconds: EVENT_MILLISECONDS,
      onArrival: ({id, server}) =>
        record.add(`${server} of ${version} runs ${id}`),
    });
    await engine.start();
    return engine;
  };
  const old = await Promise.all(
    Array.from({length: ENGINES}, (_, index) =>
      startEngine(index === 0 ? 'v1' : 'v2', [MODEL]),
    ),
  );
  const hosts = await Hosts.start({
    count: HOSTS,
    store: store.address,
    contracts: 'base,drain,config,cost,retry,recover,fleet,stream,engine',
  });
  record.add('all hosts are ready');
  await pause(BOUNDS.contactTimeoutMilliseconds + 1000);
  const ready = new Set<Host>(hosts.all);
  let isOver = false;
  const watch = (async () => {
    while (!isOver) {
      for (const host of hosts.all) {
        if (await host.isReady()) ready.add(host);
        else ready.delete(host);
      }
      await pause(100);
    }
  })();
  const streams: Stream[] = [];
  let number = 0;
  let takenUp = 0;
  const play = async () => {
    const hostsNow = [...ready];
    const host = hostsNow[number % hostsNow.length];
    if (host === undefined) return;
    const id = `stream-${++number}`;
    const stream: Stream = {
      begunAt: Date.now(),
      host: host.name,
      lastEvent: 0,
      version: '',
      takenUpAt: undefined,
      wasInTouch: false,
      status: 0,
      wentOn: false,
    };
    streams.push(stream);
    const sent = {
      path: '/draft/1',
      key: KEY,
      body: 'prompt',
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
    };
    const headers = {
      Model: MODEL,
      'Token-Usage': '400,200',
      'Prompt-Prefix': `aa:100,${number.toString(16)}:300`,
    };
    const first = await sendRequest({...sent, to: host.callers, id, headers});
    stream.status = first.status;
    const events = [
      ...first.body.matchAll(/id: (\d+)\ndata: [^\n]*(v\d)\n\n/g),
    ];
    const last = events.at(-1);
    stream.lastEvent = Number(last?.[1] ?? 0);
    stream.version = last?.[2] ?? '';
    record.add(
      `${id} sent to ${host.name}: ${first.status}, events up to` +
        ` ${stream.lastEvent} of ${stream.version}` +
        `${first.isBroken ? ', broken off' : ''}`,
    );
    if (!first.isBroken || stream.lastEvent === 0) return;
    if (stream.lastEvent >= EVENTS) return;
    // Its connection is broken: the client takes it up at another host, and tries a few
    // times if it is told that the request has not run.
    for (const [tries, delay] of TAKE_UP_MILLISECONDS.entries()) {
      await pause(delay);
      const others = [...ready].filter(other => other !== host);
      const next = others[takenUp++ % others.length];
      if (next === undefined) return;
      const at = Date.now();
      if (stream.takenUpAt === undefined)
        stream.wasInTouch = next.isInTouch(at);
      stream.takenUpAt ??= at;
      const second = await sendRequest({
        ...sent,
        to: next.callers,
        id: `${id}-again-${tries + 1}`,
        headers: {
          ...headers,
          'Last-Event-Id': String(stream.lastEvent),
          Resumes: id,
        },
      });
      stream.wentOn = second.body.includes(`id: ${stream.lastEvent + 1}\n`);
      record.add(
        `${id} of ${stream.version} broke at ${host.name} after event` +
          ` ${stream.lastEvent}; taken up at ${next.name}: ${second.status},` +
          ` ${stream.wentOn ? 'went on' : 'did not go on'}`,
      );
      if (second.status !== 503) return;
    }
  };
  const plays: Promise<void>[] = [];
  const generator = (async () => {
    while (!isOver) {
      plays.push(play());
      await pause(STREAM_MILLISECONDS);
    }
  })();
  await pause(4000);
  const [lost, , , stopped] = hosts.all;
  if (lost === undefined || stopped === undefined) throw new Error('no host');
  if (HAS_TROUBLE) {
    record.add(`SIGTERM to ${stopped.name}, which the platform starts again`);
    stopped.signal('SIGTERM');
  }
  await pause(14_000);
  record.add('release: an engine of v2 starts, then the last one of v1 leaves');
  const fresh = await startEngine('v2', []);
  await pause(1000);
  void old[0]?.leave(BOUNDS.drainMilliseconds);
  await pause(10_000);
  record.add(`the release is over; SIGKILL to ${lost.name}`);
  const lostAt = Date.now();
  lost.signal('SIGKILL');
  ready.delete(lost);
  await pause(COUNTED_MILLISECONDS);
  isOver = true;
  await Promise.all([generator, watch]);
  await Promise.all(plays);
  const taken = streams.filter(
    ({takenUpAt, wasInTouch}) => (takenUpAt ?? 0) >= lostAt && wasInTouch,
  );
  const wentOn = taken.filter(stream => stream.wentOn).length;
  const begun = streams.filter(
    ({begunAt, host}) => begunAt >= lostAt && host !== lost.name,
  );
  const served = begun.filter(({lastEvent}) => lastEvent > 0).length;
  const share = wentOn / Math.max(1, taken.length);
  const newShare = served / Math.max(1, begun.length);
  record.add(
    `${taken.length} streams were taken up at hosts in touch, ${wentOn} went on` +
      ` (${share.toFixed(2)}); of ${begun.length} new streams, ${served} began` +
      ` (${newShare.toFixed(2)})`,
  );
  await hosts.end();
  for (const engine of [...old, fresh]) engine.stop();
  await store.stop();
  if (taken.length < FEWEST_TAKEN_UP) throw new Error('too few were taken up');
  return share < newShare / 2;
});
