import {connect} from 'node:net';
import {HOST_NAME, kaplamaConfiguration, KEY} from '../lib/configuration.ts';
import {pause, type Recorder, runCase} from '../lib/deployment.ts';
import {ownHeaders, RawEndpoint, type RawRequest} from '../lib/raw_endpoint.ts';

/** Body of an answer; the mean of the site is 800 bytes. */
const BODY = 'x'.repeat(800);

/** Work of an order; the mean of the site. */
const ORDER_MILLISECONDS = 43;

/** Clients; as many as the two applications have places. */
const CLIENTS = 12;

/** Pause of a client between two orders. */
const THINK_MILLISECONDS = 20;

const PLAY_MILLISECONDS = 40_000;

/** The one of two applications that breaks off answers. */
const FAULTY = 'i-app-1';

/** One of its answers in so many breaks off (`x` of `garble` is 0.02). */
const BREAK_INTERVAL = 50;

let count = 0;
let brokenOff = 0;
let hasTrouble = false;

await runCase({
  folder: 'review/1',
  hostCount: 2,
  configuration: kaplamaConfiguration(),
  prepare: async deployment => {
    const {store, recorder, atEnd} = deployment;
    hasTrouble = deployment.hasTrouble;
    for (const id of [FAULTY, 'i-app-2']) {
      const application = await RawEndpoint.start(
        {
          id,
          service: 'katalog-app',
          zone: 'ist-a',
          slots: 6,
          record: line => recorder.add(line),
          misbehave: ({connection}) => connection.destroy(),
          answer: request => answer(id, request, recorder),
        },
        store,
      );
      atEnd(() => application.stop());
    }
  },
  play: async ({hosts, recorder}) => {
    const [host] = hosts;
    if (host === undefined) throw new Error('no host');
    const target = {
      host: host.settings.ip,
      port: host.settings.ports.callers,
    };
    const endsAt = performance.now() + PLAY_MILLISECONDS;
    let orders = 0;
    let wrong = 0;
    const runClient = async () => {
      while (performance.now() < endsAt) {
        if (await getsPartAsWhole(target, `order-${orders++}`, recorder))
          wrong++;
        await pause(THINK_MILLISECONDS);
      }
    };
    await Promise.all(Array.from({length: CLIENTS}, runClient));
    recorder.add(
      `${orders} orders, ${brokenOff} answers broken off, ${wrong} of them came ` +
        'as whole ones',
    );
    return wrong > 0;
  },
});

/** Answers without a length; the faulty application breaks off some of its answers. */
function answer(
  endpoint: string,
  {id, connection}: RawRequest,
  recorder: Recorder,
): void {
  const breaks =
    hasTrouble && endpoint === FAULTY && ++count % BREAK_INTERVAL === 0;
  setTimeout(() => {
    const head = `HTTP/1.1 200 OK\r\n${ownHeaders(id)}Connection: close\r\n\r\n`;
    if (!breaks) {
      connection.end(head + BODY);
      return;
    }
    brokenOff++;
    recorder.add(`${endpoint} breaks off its answer to ${id} with a reset`);
    connection.write(head + BODY.slice(0, BODY.length / 2));
    connection.resetAndDestroy();
  }, ORDER_MILLISECONDS);
}

/** Sends an order; whether its client gets a part of the answer as a whole one. */
function getsPartAsWhole(
  target: {host: string; port: number},
  id: string,
  recorder: Recorder,
): Promise<boolean> {
  return new Promise(resolve => {
    const connection = connect(target);
    let received = '';
    const finish = (end: string) => {
      connection.destroy();
      const headEnd = received.indexOf('\r\n\r\n');
      const [status = 'no answer'] = received.split('\r\n', 1);
      const bytes = headEnd < 0 ? 0 : received.length - headEnd - 4;
      recorder.add(`client gets "${status}", ${bytes} bytes for ${id}, ${end}`);
      const isSuccess = status.startsWith('HTTP/1.1 200');
      const isReset = end === 'reset';
      resolve(isSuccess && !isReset && bytes < BODY.length);
    };
    connection.setTimeout(5000, () => finish('no end'));
    connection.on('data', (bytes: Buffer) => {
      received += bytes.toString('latin1');
      const isEmpty = /\r\ncontent-length: 0\r\n/i.test(received);
      if (isEmpty) finish('whole');
    });
    connection.once('end', () => finish('end of the connection'));
    connection.once('error', () => finish('reset'));
    connection.write(
      `POST /order/2f HTTP/1.1\r\nHost: ${HOST_NAME}\r\nRequest-Id: ${id}\r\n` +
        `X-Api-Key: ${KEY}\r\nDeadline-Ms: 1000\r\nContent-Length: 4\r\n\r\nbody`,
    );
  });
}
