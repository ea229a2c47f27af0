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
import {StoreProxy} from '../support-3/store_proxy.ts';

const HOSTS = 2;

const ENGINES = 6;

const MODEL = 'model-a';

const SIZES: ReadonlyMap<string, ModelSizes> = new Map([
  [MODEL, {megabytes: 16_100, adapterMegabytes: 14}],
]);

/** A stream lasts five seconds. */
const EVENTS = 25;
const EVENT_MILLISECONDS = 200;

/** Interval between two new streams, over all hosts. */
const STREAM_MILLISECONDS = 40;

const DEADLINE_MILLISECONDS = 20_000;

/** Time for which the store turns the first host away. */
const AWAY_MILLISECONDS = 7000;

/** Streams of two versions that the rule allows. */
const ALLOWED_STREAMS = 2;

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
  /** Engine version of the events after it was taken up. */
  laterVersion: string;
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
    Array.from({length: ENGINES}, () => startEngine('v1', [MODEL])),
  );
  const proxy = await StoreProxy.start(store.address);
  const hosts = await Hosts.start({
    count: HOSTS,
    store: store.address,
    storeOf: index => (index === 0 ? proxy.address : store.address),
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
      laterVersion: '',
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
    // Its connection is broken: the client takes it up at another host.
    const others = [...ready].filter(other => other !== host);
    const next = others[takenUp++ % others.length];
    if (next === undefined) return;
    stream.takenUpAt = Date.now();
    stream.wasInTouch = next.isInTouch(stream.takenUpAt);
    const second = await sendRequest({
      ...sent,
      to: next.callers,
      id: `${id}-again`,
      headers: {
        ...headers,
        'Last-Event-Id': String(stream.lastEvent),
        Resumes: id,
      },
    });
    stream.wentOn = second.body.includes(`id: ${stream.lastEvent + 1}\n`);
    stream.laterVersion = /v\d/.exec(second.body)?.[0] ?? '';
    record.add(
      `${id} of ${stream.version} broke at ${host.name} after event` +
        ` ${stream.lastEvent}; taken up at ${next.name}: ${second.status},` +
        ` ${stream.wentOn ? `went on at ${stream.laterVersion}` : 'did not go on'}`,
    );
  };
  const plays: Promise<void>[] = [];
  const generator = (async () => {
    while (!isOver) {
      plays.push(play());
      await pause(STREAM_MILLISECONDS);
    }
  })();
  await pause(4000);
  const [lost] = hosts.all;
  if (lost === undefined) throw new Error('no host');
  if (HAS_TROUBLE) {
    record.add(`the store turns ${lost.name} away, and serves the other host`);
    proxy.turnsAway = true;
    setTimeout(() => {
      proxy.turnsAway = false;
    }, AWAY_MILLISECONDS);
  }
  await pause(1000);
  record.add('release: an engine of v2 starts, then one of v1 leaves');
  const fresh = await startEngine('v2', []);
  await pause(1000);
  void old[0]?.leave(BOUNDS.drainMilliseconds);
  await pause(4000);
  record.add(`SIGKILL to ${lost.name}`);
  lost.signal('SIGKILL');
  ready.delete(lost);
  await pause(2000);
  isOver = true;
  await Promise.all([generator, watch]);
  await Promise.all(plays);
  const taken = streams.filter(({takenUpAt}) => takenUpAt !== undefined);
  const mixed = taken.filter(
    ({wentOn, version, laterVersion}) => wentOn && laterVersion !== version,
  );
  record.add(
    `${taken.length} streams were taken up;` +
      ` ${mixed.length} hold events of two software versions,` +
      ` ${ALLOWED_STREAMS} are allowed`,
  );
  await hosts.end();
  proxy.stop();
  for (const engine of [...old, fresh]) engine.stop();
  await store.stop();
  return mixed.length > ALLOWED_STREAMS;
});
