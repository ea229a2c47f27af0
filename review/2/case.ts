import {connect} from 'node:net';
import {HOST_NAME, kaplamaConfiguration, KEY} from '../lib/configuration.ts';
import {type CaseDeployment, pause, runCase} from '../lib/deployment.ts';
import {ownHeaders, RawEndpoint} from '../lib/raw_endpoint.ts';

const MODEL = 'daka510000';

/** Events of a stream, as the mean of the site. */
const EVENTS = 58;

/** Pause between two events. */
const PAUSE_MILLISECONDS = 50;

const STREAMS = 6;

/** Time after the start of the streams at which the process is killed. */
const KILL_MILLISECONDS = 1200;

/** A stream as its client has got it. */
interface ReceivedStream {
  readonly id: string;
  received: string;
  end: 'end of the connection' | 'reset' | 'none';
}

await runCase({
  folder: 'review/2',
  hostCount: 2,
  configuration: kaplamaConfiguration(),
  prepare: async ({store, recorder, atEnd}) => {
    const engine = await RawEndpoint.start(
      {
        id: 'i-engine-1',
        service: 'dil-model',
        zone: 'ist-a',
        slots: 64,
        models: [MODEL],
        record: line => recorder.add(line),
        misbehave: ({connection}) => connection.destroy(),
        answer: ({id, connection}) => {
          connection.write(
            `HTTP/1.1 200 OK\r\n${ownHeaders(id)}` +
              'Content-Type: text/event-stream\r\nConnection: close\r\n\r\n',
          );
          let sent = 0;
          const timer = setInterval(() => {
            if (connection.destroyed) {
              clearInterval(timer);
              return;
            }
            connection.write(`id: ${++sent}\ndata: ${'x'.repeat(40)}\n\n`);
            if (sent < EVENTS) return;
            clearInterval(timer);
            connection.end();
          }, PAUSE_MILLISECONDS);
        },
      },
      store,
    );
    atEnd(() => engine.stop());
  },
  play: async ({hosts, recorder, hasTrouble}) => {
    const [host] = hosts;
    if (host === undefined) throw new Error('no host');
    const {ip, ports} = host.settings;
    const streams = Array.from({length: STREAMS}, (_unused, index) =>
      openStream({host: ip, port: ports.callers}, `chat-${index}`, recorder),
    );
    await pause(KILL_MILLISECONDS);
    if (hasTrouble) host.signal('SIGKILL');
    await pause(EVENTS * PAUSE_MILLISECONDS + 2000);
    const broken = streams.filter(stream => looksComplete(stream, recorder));
    recorder.add(
      `${STREAMS} streams of ${EVENTS} events, ${broken.length} of them look ` +
        'complete to their clients without being so',
    );
    return broken.length > 0;
  },
});

function openStream(
  target: {host: string; port: number},
  id: string,
  recorder: CaseDeployment['recorder'],
): ReceivedStream {
  const stream: ReceivedStream = {id, received: '', end: 'none'};
  recorder.add(`client sends ${id}`);
  const connection = connect(target);
  connection.on('data', (bytes: Buffer) => {
    stream.received += bytes.toString();
  });
  connection.once('end', () => {
    stream.end = 'end of the connection';
  });
  connection.once('error', () => {
    stream.end = 'reset';
  });
  connection.write(
    `POST /chat/2f HTTP/1.1\r\nHost: ${HOST_NAME}\r\nRequest-Id: ${id}\r\n` +
      `X-Api-Key: ${KEY}\r\nModel: ${MODEL}\r\nToken-Usage: 826,290\r\n` +
      `Prompt-Prefix: a1:119,b2:79,${id.replaceAll(/\D/g, 'c')}:628\r\n` +
      'Deadline-Ms: 12000\r\nContent-Length: 4\r\n\r\nbody',
  );
  return stream;
}

/** Whether a stream without all events has ended as a complete one does. */
function looksComplete(
  {id, received, end}: ReceivedStream,
  recorder: CaseDeployment['recorder'],
): boolean {
  const headEnd = received.indexOf('\r\n\r\n');
  const head = received.slice(0, Math.max(0, headEnd)).toLowerCase();
  const body = received.slice(headEnd + 4);
  const isUnframed =
    head.startsWith('http/1.1 200') &&
    !head.includes('content-length') &&
    !head.includes('transfer-encoding');
  const events = (body.match(/^id: /gm) ?? []).length;
  const endsInEvent = !body.endsWith('\n\n');
  const isChunkedWhole = body.endsWith('0\r\n\r\n');
  recorder.add(
    `${id}: ${events} of ${EVENTS} events, ` +
      `${isUnframed ? 'no length and no chunks' : 'framed'}, ends by ${end}` +
      (endsInEvent && isUnframed ? ', inside an event' : ''),
  );
  if (events === EVENTS) return false;
  return isUnframed
    ? end === 'end of the connection' && !endsInEvent
    : isChunkedWhole;
}
