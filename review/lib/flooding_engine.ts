import type {Socket} from 'node:net';
import type {PlatformStoreStandIn} from '../../src/testing/platform_store_stand_in.ts';
import {ownHeaders, RawEndpoint} from './raw_endpoint.ts';

/** Options of {@link startFloodingEngine}. */
export interface FloodingEngineOptions {
  readonly id: string;
  readonly model: string;
  readonly zone: string;
  /** Status line of the answers with endless bytes. */
  readonly status: string;
  /** First bytes of the body. */
  readonly start: string;
  /** Bytes a second of each answer; as many as are read when left out. */
  readonly bytesPerSecond?: number;
  /** In trouble, one answer in so many has no end. @default 1 */
  readonly misbehavesEvery?: number;
  readonly record: (line: string) => void;
}

/** Bytes of one piece of a stream on the site, and of one chunk here. */
const PIECE_BYTES = 55;

const BLOCK_BYTES = 64 * 1024;

const INTERVAL_MILLISECONDS = 20;

/**
 * Starts a model engine that answers soundly until it is in trouble. It then sends a
 * proper head and bytes without end, in chunks as large as its usual pieces, until its
 * caller closes the connection.
 */
export function startFloodingEngine(
  options: FloodingEngineOptions,
  store: PlatformStoreStandIn,
): Promise<RawEndpoint> {
  const {id, model, zone, record, status, start} = options;
  const headers = (requestId: string) =>
    `${ownHeaders(requestId)}Content-Type: text/event-stream\r\n` +
    'Transfer-Encoding: chunked\r\n\r\n';
  return RawEndpoint.start(
    {
      id,
      service: 'dil-model',
      zone,
      slots: 64,
      models: [model],
      record,
      misbehavesEvery: options.misbehavesEvery ?? 1,
      answer: request => {
        const event = chunkOf('id: 1\ndata: a whole event\n\n');
        request.connection.write(
          `HTTP/1.1 200 OK\r\n${headers(request.id)}${event}0\r\n\r\n`,
        );
      },
      misbehave: request => {
        request.connection.write(
          `HTTP/1.1 ${status}\r\n${headers(request.id)}` +
            (start === '' ? '' : chunkOf(start)),
        );
        flood(request.connection, options.bytesPerSecond);
      },
    },
    store,
  );
}

function chunkOf(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function flood(connection: Socket, bytesPerSecond: number | undefined): void {
  const chunk = chunkOf('x'.repeat(PIECE_BYTES));
  if (bytesPerSecond !== undefined) {
    const chunks =
      (bytesPerSecond * INTERVAL_MILLISECONDS) / 1000 / PIECE_BYTES;
    const bytes = Buffer.from(chunk.repeat(Math.round(chunks)));
    const timer = setInterval(() => {
      if (connection.destroyed) clearInterval(timer);
      else if (connection.writableLength === 0) connection.write(bytes);
    }, INTERVAL_MILLISECONDS);
    return;
  }
  const block = Buffer.from(
    chunk.repeat(Math.ceil(BLOCK_BYTES / chunk.length)),
  );
  const write = () => {
    if (connection.destroyed) return;
    if (connection.write(block)) setImmediate(write);
    else connection.once('drain', write);
  };
  write();
}
