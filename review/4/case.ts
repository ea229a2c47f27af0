import {PlatformEndpointStandIn} from '../../src/testing/platform_endpoint_stand_in.ts';
import {GRAIN_CHAT, StreamClients} from '../lib/chat_clients.ts';
import {
  kaplamaConfiguration,
  ORDER_TIMEOUT_MILLISECONDS,
} from '../lib/configuration.ts';
import {pause, runCase} from '../lib/deployment.ts';
import {startFloodingEngine} from '../lib/flooding_engine.ts';
import {findLateOrders, OrderClients} from '../lib/order_clients.ts';
import type {RawEndpoint} from '../lib/raw_endpoint.ts';

const MODEL = 'daka510000';

/** Work of an order; the mean of the site is 42.9 ms, the largest 220 ms. */
const ORDER_MILLISECONDS = 100;

/** One stream in so many has no end (`x` of `garble` is 0.02). */
const TROUBLE_INTERVAL = 50;

/** Part of all traffic that one of the two hosts gets. */
const HOST_SHARE = 0.5;

let troubled: RawEndpoint | undefined;

await runCase({
  folder: 'review/4',
  hostCount: 2,
  configuration: kaplamaConfiguration(),
  prepare: async ({store, recorder, atEnd}) => {
    const engine = await PlatformEndpointStandIn.start(
      {
        id: 'i-sound-engine',
        service: 'dil-model',
        dataCentre: 'ist-a',
        models: [MODEL],
      },
      store,
    );
    atEnd(() => engine.stop());
    const flooding = await startFloodingEngine(
      {
        id: 'i-troubled-engine',
        model: MODEL,
        zone: 'ist-a',
        status: '200 OK',
        misbehavesEvery: TROUBLE_INTERVAL,
        start: 'id: 1\ndata: ',
        record: line => recorder.add(line),
      },
      store,
    );
    troubled = flooding;
    atEnd(() => flooding.stop());
    for (const id of ['i-app-1', 'i-app-2']) {
      const application = await PlatformEndpointStandIn.start(
        {id, service: 'katalog-app'},
        store,
      );
      application.runMilliseconds = ORDER_MILLISECONDS;
      atEnd(() => application.stop());
    }
  },
  play: async ({hosts, recorder, hasTrouble}) => {
    const [host] = hosts;
    if (host === undefined || troubled === undefined)
      throw new Error('no host');
    const target = {
      host: host.settings.ip,
      port: host.settings.ports.callers,
    };
    const orders = new OrderClients(target, 'host-1', recorder);
    const chats = new StreamClients(target, 'host-1', recorder);
    orders.start(4);
    chats.start(GRAIN_CHAT, HOST_SHARE);
    await pause(8000);
    if (hasTrouble) {
      recorder.add('i-troubled-engine gets into trouble');
      troubled.isInTrouble = true;
    }
    await pause(40_000);
    recorder.add('the trouble ends');
    troubled.isInTrouble = false;
    await pause(2000);
    chats.stop();
    orders.stop();
    await pause(ORDER_TIMEOUT_MILLISECONDS + 1000);
    const {late, later} = findLateOrders(orders.orders, recorder);
    return late.length > 0 && later.length > late.length / 2;
  },
});
