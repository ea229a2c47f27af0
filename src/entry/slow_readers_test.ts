import {type IncomingMessage, request as httpRequest} from 'node:http';
import {afterEach, describe, expect, test} from 'vitest';
import {EntryFleet} from '../testing/entry_fleet.ts';
import {freePorts} from '../testing/free_ports.ts';
import {send} from '../testing/platform_caller.ts';
import {
  PLATFORM_KEY,
  platformConfiguration,
} from '../testing/platform_deployment.ts';
import type {PlatformEndpointStandIn} from '../testing/platform_endpoint_stand_in.ts';

const MEGABYTE = 1_000_000;

/** Time after which the engine cuts off a response that remains unread. */
const UNREAD_MILLISECONDS = 3000;

/** Interval between the reads of a caller that reads slowly. */
const READ_MILLISECONDS = 50;

/** Share of the memory for held bytes, and of that for one holder. */
const CALLERS_SHARE = 0.3 * 0.5;

/** Bytes of one read from a socket, which may be in memory before the reading stops. */
const READ_BYTES = 64 * 1024 + 16 * 1024;

let fleet: EntryFleet;
let engine: PlatformEndpointStandIn;
let plain: PlatformEndpointStandIn;
let callerPort: number;
let metricsPort: number;

afterEach(() => fleet.stop());

async function start(
  timeoutMilliseconds: number,
  memoryMegabytes: number,
): Promise<void> {
  const configuration = platformConfiguration({timeoutMilliseconds});
  fleet = await EntryFleet.start(configuration);
  engine = await fleet.startEndpoint({
    id: 'engine-1',
    service: 'engines',
    models: ['model-a'],
  });
  engine.trouble = 'floods';
  engine.unreadMilliseconds = UNREAD_MILLISECONDS;
  plain = await fleet.startEndpoint({id: 'plain-1', service: 'plain'});
  plain.answerBody = 'x'.repeat(8 * MEGABYTE);
  [metricsPort] = (await freePorts(1)) as [number];
  const overrides = {memoryMegabytes, metricsPort};
  ({callerPort} = await fleet.startHost('host-1', overrides));
}

/** How a caller reads: pauses, then reads at a rate, then all of the rest. */
interface Pace {
  pauseMilliseconds?: number;
  bytesPerSecond?: number;
  slowMilliseconds?: number;
}

interface Ended {
  readonly bytes: number;
  readonly isBroken: boolean;
}

function open(path: string, pace: Pace): Promise<Ended> {
  return new Promise(resolve => {
    const request = httpRequest({
      host: '127.0.0.1',
      port: callerPort,
      method: 'POST',
      path,
      agent: false,
      headers: {
        Host: 'api.example',
        'Request-Id': 'r',
        'X-Api-Key': PLATFORM_KEY,
        ...(path.startsWith('/chat') ? {Model: 'model-a'} : {}),
      },
    });
    request.on('error', () => resolve({bytes: 0, isBroken: true}));
    request.on('response', response => {
      let bytes = 0;
      const finish = (isBroken: boolean) => resolve({bytes, isBroken});
      response.once('end', () => finish(!response.complete));
      response.once('error', () => finish(true));
      void readSlowly(response, pace, count => (bytes += count));
    });
    request.end();
  });
}

async function readSlowly(
  response: IncomingMessage,
  {pauseMilliseconds = 0, bytesPerSecond = 0, slowMilliseconds = 0}: Pace,
  onRead: (bytes: number) => void,
): Promise<void> {
  await sleep(pauseMilliseconds);
  const slowUntil = Date.now() + slowMilliseconds;
  let allowed = 0;
  response.on('readable', () => undefined);
  while (Date.now() < slowUntil && !response.readableEnded) {
    if (response.destroyed) break;
    allowed += (bytesPerSecond * READ_MILLISECONDS) / 1000;
    while (allowed > 0) {
      const chunk = response.read() as Buffer | null;
      if (chunk === null) break;
      allowed -= chunk.length;
      onRead(chunk.length);
    }
    await sleep(READ_MILLISECONDS);
  }
  response.removeAllListeners('readable');
  response.on('data', (chunk: Buffer) => onRead(chunk.length));
  response.resume();
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

async function heldBytes(): Promise<number> {
  const response = await fetch(`http://127.0.0.1:${metricsPort}/metrics`);
  const page = await response.text();
  const line = /^limpetdale_held_for_callers_bytes (\d+)$/mu.exec(page);
  return Number(line?.[1] ?? 0);
}

/** Reasons in the events of responses that were broken off. */
function reasons(): string[] {
  return fleet.lines
    .filter(line => line.includes('"readerTooSlow"'))
    .map(line => /"reason":"(\w+)"/u.exec(line)?.[1] ?? '');
}

interface Case {
  name: string;
  path: string;
  pace: Pace;
  /** Size of a stream. */
  floodBytes?: number;
  /** @default 20,000 */
  timeoutMilliseconds?: number;
  /** @default 350 */
  memoryMegabytes?: number;
  /** @default 1 */
  callers?: number;
  /** Why responses are broken off; undefined if all are complete. */
  reason?: string;
  /** Number of responses that are broken off. @default all */
  brokenOff?: number;
}

const NEVER: Pace = {pauseMilliseconds: 5000};

const CASES: Case[] = [
  {
    name: 'a stream of which nothing is read',
    path: '/chat/x',
    pace: NEVER,
    reason: 'endpoint_blocked',
  },
  {
    name: 'a stream of which a trickle is read',
    path: '/chat/x',
    pace: {bytesPerSecond: 10_000, slowMilliseconds: 8000},
    reason: 'endpoint_blocked',
  },
  {
    name: 'a stream that is read slowly but steadily',
    path: '/chat/x',
    pace: {bytesPerSecond: 0.3 * MEGABYTE, slowMilliseconds: 6000},
    floodBytes: 11.5 * MEGABYTE,
  },
  {
    name: 'a long stream after a pause of a second',
    path: '/chat/x',
    pace: {pauseMilliseconds: 1000},
    floodBytes: 40 * MEGABYTE,
  },
  {
    name: 'a buffered response of which nothing is read',
    path: '/order/x',
    pace: NEVER,
    timeoutMilliseconds: 1000,
    reason: 'deadline',
  },
  {
    name: 'a buffered response that is read slowly until after the deadline',
    path: '/order/x',
    pace: {bytesPerSecond: 2 * MEGABYTE, slowMilliseconds: 8000},
    timeoutMilliseconds: 1000,
  },
  {
    name: 'a buffered response of which nothing is read for 3 s before the deadline',
    path: '/order/x',
    pace: {pauseMilliseconds: 3000},
  },
  {
    name: 'streams of many callers that read nothing',
    path: '/chat/x',
    pace: NEVER,
    memoryMegabytes: 40,
    callers: 20,
    reason: 'endpoint_blocked',
  },
  {
    name: 'buffered responses of callers that read nothing while memory is scarce',
    path: '/order/x',
    pace: NEVER,
    memoryMegabytes: 80,
    callers: 2,
    reason: 'memory',
    // The memory is no longer scarce then.
    brokenOff: 1,
  },
];

describe('slow readers', () => {
  // Guards against engines that cut responses off because of their callers, and against
  // a host whose memory is used up by callers that do not read.
  test.each(CASES)('$name', async options => {
    const {path, pace, callers = 1, memoryMegabytes = 350} = options;
    await start(options.timeoutMilliseconds ?? 20_000, memoryMegabytes);
    engine.floodBytes = options.floodBytes ?? Infinity;
    let largest = 0;
    const timer = setInterval(() => {
      void heldBytes().then(held => (largest = Math.max(largest, held)));
    }, 50);
    const opened: Promise<Ended>[] = [];
    for (let index = 0; index < callers; index++) {
      opened.push(open(path, pace));
      await sleep(path.startsWith('/order') ? 200 : 0);
    }
    const {reason, brokenOff = reason === undefined ? 0 : callers} = options;
    const ended = await Promise.all(opened);
    expect(reasons()).toEqual(Array.from({length: brokenOff}, () => reason));
    expect(ended.filter(({isBroken}) => isBroken).length).toBe(brokenOff);
    await expect.poll(() => engine.requestsUnderWay).toBe(0);
    await expect.poll(heldBytes, {timeout: 2000}).toBe(0);
    clearInterval(timer);
    expect(engine.cutOffs).toBe(0);
    const limit =
      memoryMegabytes * CALLERS_SHARE * 1024 * 1024 + callers * READ_BYTES;
    if (path.startsWith('/chat')) expect(largest).toBeLessThan(limit);
    plain.answerBody = 'small';
    const health = await send(callerPort, {path: '/look/1'});
    expect(health.status).toBe(200);
  });
});
