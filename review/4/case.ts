import {PlatformEndpointStandIn} from '../../src/testing/platform_endpoint_stand_in.ts';
import {GRAIN_CHAT, SPECIES_TAG, StreamClients} from '../lib/chat_clients.ts';
import {kaplamaConfiguration} from '../lib/configuration.ts';
import {pause, runCase} from '../lib/deployment.ts';
import {type ArrivedOrder, LossyLink} from '../lib/lossy_link.ts';

const MODEL = 'daka510000';

/** `lease_ms` of the site. */
const TURN_MILLISECONDS = 3000;

/** Pause between the answer to the order and the stop. */
const STOP_DELAY_MILLISECONDS = 20;

const orders: ArrivedOrder[] = [];
const links: LossyLink[] = [];
let onAnswer: (holder: string) => void = () => undefined;

await runCase({
  folder: 'review/4',
  hostCount: 2,
  configuration: kaplamaConfiguration(),
  prepare: async ({store, recorder, atEnd}) => {
    for (const id of ['i-engine-1', 'i-engine-2']) {
      const engine = await PlatformEndpointStandIn.start(
        {id, service: 'dil-model', dataCentre: 'ist-a', models: [MODEL]},
        store,
      );
      atEnd(() => engine.stop());
      const link = await LossyLink.start({
        engine: id,
        address: engine.address,
        onOrder: order => {
          orders.push(order);
          recorder.add(
            `${id} gets an order (${order.operation}) of ${order.holder}, ` +
              `fencing token ${order.fencingToken}`,
          );
        },
        onAnswer: holder => onAnswer(holder),
      });
      links.push(link);
      atEnd(() => link.stop());
      const row = store.get('servers', id) as object;
      store.put('servers', id, {...row, address: link.address});
    }
  },
  play: async ({hosts, recorder, hasTrouble}) => {
    const clients = hosts.map(
      ({settings}) =>
        new StreamClients(
          {host: settings.ip, port: settings.ports.callers},
          settings.nodeName,
          recorder,
          true,
        ),
    );
    const start = (client: StreamClients) => {
      client.start(GRAIN_CHAT, 1 / hosts.length);
      client.start(SPECIES_TAG, 1 / hosts.length);
    };
    clients.forEach(start);
    await pause(8000);
    const holder = orders.at(-1)?.holder;
    const host = hosts.find(({settings}) => settings.nodeName === holder);
    if (holder === undefined || host === undefined)
      throw new Error('No host gives orders');
    recorder.add(`${holder} gives the orders`);
    // The stop follows the first order that was answered while no other was sent.
    await new Promise<void>(resolve => {
      let lost: number | undefined;
      const choose = () => {
        lost = undefined;
        if (hasTrouble) for (const link of links) link.losesOrderOf = holder;
        else lost = orders.length;
      };
      for (const link of links) {
        link.onLoss = () => {
          for (const other of links) other.losesOrderOf = undefined;
          recorder.add(`a packet with an order of ${holder} is lost once`);
          lost = orders.length;
        };
      }
      onAnswer = () => {
        if (lost === undefined) return;
        if (orders.length === lost + 1) resolve();
        else if (orders.length > lost + 1) choose();
      };
      choose();
    });
    await pause(STOP_DELAY_MILLISECONDS);
    host.signal('SIGTERM');
    // Its clients go to the other host.
    clients.forEach((client, index) => {
      if (hosts[index] === host) client.stop();
      else start(client);
    });
    await pause(9000);
    for (const other of clients) other.stop();
    await pause(500);
    let isBroken = false;
    for (const engine of new Set(orders.map(order => order.engine))) {
      const own = orders.filter(order => order.engine === engine);
      for (const [index, order] of own.entries()) {
        const before = own[index - 1];
        if (before === undefined || before.holder === order.holder) continue;
        const gap = order.at - before.at;
        recorder.add(
          `${engine}: order of ${order.holder} (fencing token ` +
            `${order.fencingToken}) ${gap.toFixed(1)} ms after one of ` +
            `${before.holder} (${before.fencingToken})`,
        );
        if (gap < TURN_MILLISECONDS) isBroken = true;
      }
    }
    return isBroken;
  },
});
