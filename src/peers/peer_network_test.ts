import {randomUUID} from 'node:crypto';
import {afterEach, describe, expect, test} from 'vitest';
import {WebSocket} from 'ws';
import {type EventName, SILENT_LOGGER} from '../observability/mod.ts';
import {SystemClock} from '../time/mod.ts';
import {
  encodePeerFrame,
  listeningPort,
  PEER_PROTOCOL_VERSION,
  type PeerFrame,
  type PeerMessage,
  PeerNetwork,
  type PeerNetworkOptions,
  type PeerConnectionEvent,
} from './mod.ts';

const networks: PeerNetwork[] = [];

afterEach(async () => {
  await Promise.all(networks.splice(0).map(network => network.stop()));
});

/** Unsent bytes from which a peer gets no more state. */
const STATE_QUEUE_BYTES = 64 * 1024;

async function startNetwork(
  hostId: string,
  options: Partial<PeerNetworkOptions> = {},
) {
  const server = await PeerNetwork.listen({
    address: '127.0.0.1',
    port: 0,
    clock: new SystemClock(),
    logger: SILENT_LOGGER,
  });
  const peerAddress = `ws://127.0.0.1:${listeningPort(server)}`;
  const events: EventName[] = [];
  const network = new PeerNetwork({
    self: {
      hostId,
      incarnation: `${hostId}-run-1`,
      dataCentre: 'istanbul-1',
      peerAddress,
      callerAddress: 'http://127.0.0.1:1',
    },
    deployment: 'test',
    clock: new SystemClock(),
    logger: {event: name => events.push(name)},
    reconnectMilliseconds: 20,
    ...options,
  });
  network.start(server);
  networks.push(network);
  return {network, peerAddress, events};
}

function nextConnectionEvent(
  network: PeerNetwork,
  kind: PeerConnectionEvent['kind'],
): Promise<PeerConnectionEvent> {
  return new Promise(resolve => {
    const cancel = network.onConnectionEvent(event => {
      if (event.kind !== kind) return;
      cancel();
      resolve(event);
    });
  });
}

const HEARTBEAT: PeerMessage = {
  kind: 'heartbeat',
  askedAt: 1,
  version: 7,
  remembers: true,
  leaving: false,
};

const GREETING: PeerFrame = {
  kind: 'greeting',
  protocolVersion: PEER_PROTOCOL_VERSION,
  deployment: 'test',
  hostId: 'stranger',
  incarnation: 'stranger-run-1',
  dataCentre: 'istanbul-1',
  peerAddress: 'ws://127.0.0.1:2',
  callerAddress: 'http://127.0.0.1:2',
};

test('messages arrive in order with the identity of their sender', async () => {
  const first = await startNetwork('host-1');
  const second = await startNetwork('host-2');
  const received: string[] = [];
  const done = new Promise<void>(resolve => {
    second.network.onMessage((from, message) => {
      if (message.kind !== 'heartbeat') return;
      received.push(`${from.hostId}:${message.version}`);
      if (received.length === 3) resolve();
    });
  });
  const connected = nextConnectionEvent(first.network, 'connected');
  first.network.setAddresses([second.peerAddress]);
  await connected;
  for (const version of [1, 2, 3]) {
    expect(first.network.send('host-2', {...HEARTBEAT, version})).toBe(true);
  }
  await done;
  expect(received).toEqual(['host-1:1', 'host-1:2', 'host-1:3']);
});

test('a connection to a peer whose process has ended is reported as refused', async () => {
  const first = await startNetwork('host-1');
  const second = await startNetwork('host-2');
  const connected = nextConnectionEvent(first.network, 'connected');
  first.network.setAddresses([second.peerAddress]);
  await connected;
  const refused = nextConnectionEvent(first.network, 'refused');
  await second.network.stop();
  expect(await refused).toMatchObject({hostId: 'host-2'});
  expect(first.network.send('host-2', HEARTBEAT)).toBe(false);
});

describe('a peer that violates the protocol is disconnected; others can still connect', () => {
  const cases: {name: string; frames: Uint8Array[]}[] = [
    {name: 'garbage', frames: [new Uint8Array([0xc1, 0xff, 0x00])]},
    {name: 'no greeting', frames: [encodePeerFrame(HEARTBEAT)]},
    {
      name: 'wrong protocol version',
      frames: [encodePeerFrame({...GREETING, protocolVersion: 99})],
    },
    {
      name: 'another deployment',
      frames: [encodePeerFrame({...GREETING, deployment: 'other'})],
    },
    {
      name: 'unknown message kind',
      frames: [
        encodePeerFrame(GREETING),
        encodePeerFrame({kind: 'unheard'} as unknown as PeerFrame),
      ],
    },
    {
      name: 'wrong types',
      frames: [
        encodePeerFrame(GREETING),
        encodePeerFrame({
          ...HEARTBEAT,
          version: 'seven',
        } as unknown as PeerFrame),
      ],
    },
    {
      name: 'a second greeting',
      frames: [encodePeerFrame(GREETING), encodePeerFrame(GREETING)],
    },
  ];
  test.each(cases)('$name', async ({frames}) => {
    const {network, peerAddress, events} = await startNetwork('host-1');
    const messages: PeerMessage[] = [];
    network.onMessage((_from, message) => messages.push(message));
    const socket = new WebSocket(peerAddress);
    await new Promise(resolve => socket.once('open', resolve));
    const closed = new Promise(resolve => socket.once('close', resolve));
    for (const frame of frames) socket.send(frame);
    await closed;
    expect(events).toContain('peerMessageInvalid');
    expect(messages).toEqual([]);

    const other = await startNetwork('host-2');
    const connected = nextConnectionEvent(network, 'connected');
    other.network.setAddresses([peerAddress]);
    expect(await connected).toMatchObject({peer: {hostId: 'host-2'}});
  });
});

// Guards against megabytes of old state in front of callers' answers: what a peer on a
// full link had not read yet was queued without regard to what replaced it.
test('state for a peer that does not read is skipped and not queued', async () => {
  const skipped: string[] = [];
  const {network, peerAddress} = await startNetwork('host-1', {
    maximumStateQueueBytes: STATE_QUEUE_BYTES,
    onSkipped: kind => skipped.push(kind),
  });
  const connected = nextConnectionEvent(network, 'connected');
  const reader = new WebSocket(peerAddress);
  reader.once('open', () => {
    reader.send(encodePeerFrame(GREETING));
    reader.pause();
  });
  await connected;
  // Random names, so that compression does not shorten the message.
  const report: PeerMessage = {
    kind: 'load_report',
    sequence: 1,
    inFlight: Array.from({length: 2000}, () => ({
      endpoint: randomUUID(),
      target: randomUUID(),
      requests: 1,
    })),
    spent: [],
    isStandby: false,
  };
  const largest = STATE_QUEUE_BYTES + encodePeerFrame(report).length;
  for (let sent = 0; sent < 200; sent++) {
    network.sendState(['stranger'], report);
    expect(network.queuedBytes).toBeLessThanOrEqual(largest);
    await new Promise(resolve => setImmediate(resolve));
  }
  expect(skipped.length).toBeGreaterThan(0);
  reader.resume();
  await expect.poll(() => network.queuedBytes).toBe(0);
  const skippedBefore = skipped.length;
  network.sendState(['stranger'], report);
  expect(skipped.length).toBe(skippedBefore);
  reader.terminate();
});
