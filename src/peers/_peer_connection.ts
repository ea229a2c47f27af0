import type {RawData, WebSocket} from 'ws';
import type {EventLogger} from '../observability/mod.ts';
import type {CancelTimer, Clock} from '../time/mod.ts';
import {
  decodePeerFrame,
  encodePeerFrame,
  type PeerFrame,
} from './peer_codec.ts';
import {
  PEER_PROTOCOL_VERSION,
  type PeerGreeting,
  type PeerIdentity,
} from './peer_identity.ts';
import type {PeerMessage} from './peer_message.ts';

/** Options of {@link PeerLink}. */
export interface PeerLinkOptions {
  socket: WebSocket;
  greeting: PeerGreeting;
  /** Address of the other end, for logs. */
  remote: string;
  clock: Clock;
  logger: EventLogger;
  /** Milliseconds without a message after which the link is closed. */
  silenceMilliseconds: number;
  /** Bytes that may wait to be sent before the link is closed. */
  maximumQueuedBytes: number;
  onOpen: (link: PeerLink, peer: PeerIdentity) => void;
  onMessage: (link: PeerLink, peer: PeerIdentity, message: PeerMessage) => void;
  onClose: (link: PeerLink) => void;
}

/** One WebSocket to a peer: greeting, validation and bounds. */
export class PeerLink {
  /** The other process; undefined until its greeting has arrived. */
  peer: PeerIdentity | undefined;
  private lastReceivedAt: number;
  private cancelSilenceTimer: CancelTimer = () => undefined;
  private closed = false;

  constructor(private readonly options: PeerLinkOptions) {
    const {socket, clock} = options;
    this.lastReceivedAt = clock.monotonicMilliseconds();
    socket.on('message', data => this.receive(data));
    socket.on('close', () => this.finish());
    socket.on('error', () => socket.terminate());
    this.write(options.greeting);
    this.watchSilence();
  }

  /** Queues a message; closes the link when the peer does not keep up. */
  send(message: PeerMessage): void {
    if (this.closed) return;
    if (this.options.socket.bufferedAmount > this.options.maximumQueuedBytes) {
      this.options.logger.event('peerOverloaded', {peer: this.name});
      this.close();
      return;
    }
    this.write(message);
  }

  /** Closes the link without waiting for the other end. */
  close(): void {
    this.options.socket.terminate();
    this.finish();
  }

  private get name(): string {
    return this.peer?.hostId ?? this.options.remote;
  }

  private write(frame: PeerFrame): void {
    this.options.socket.send(encodePeerFrame(frame), {binary: true}, () => {
      // A failed send also closes the socket, which ends the link.
    });
  }

  private receive(data: RawData): void {
    if (this.closed) return;
    this.lastReceivedAt = this.options.clock.monotonicMilliseconds();
    const frame = decodePeerFrame(toBytes(data));
    if (!frame.ok) {
      this.reject(frame.error.reason);
      return;
    }
    if (frame.value.kind === 'greeting') {
      this.greet(frame.value);
      return;
    }
    if (this.peer === undefined) {
      this.reject('The first message is not a greeting');
      return;
    }
    this.options.onMessage(this, this.peer, frame.value);
  }

  private greet(greeting: PeerGreeting): void {
    if (this.peer !== undefined) {
      this.reject('Second greeting on one link');
      return;
    }
    if (greeting.protocolVersion !== PEER_PROTOCOL_VERSION) {
      this.reject(
        `Protocol version ${greeting.protocolVersion}, expected ${PEER_PROTOCOL_VERSION}`,
      );
      return;
    }
    if (greeting.deployment !== this.options.greeting.deployment) {
      this.reject(`Deployment "${greeting.deployment}"`);
      return;
    }
    const {hostId, incarnation, dataCentre, peerAddress, callerAddress} =
      greeting;
    this.peer = {hostId, incarnation, dataCentre, peerAddress, callerAddress};
    this.options.onOpen(this, this.peer);
  }

  private reject(reason: string): void {
    const peer = this.name;
    this.options.logger.event('peerMessageInvalid', {peer, reason});
    this.close();
  }

  private watchSilence(): void {
    const {clock, silenceMilliseconds} = this.options;
    const silentFor = clock.monotonicMilliseconds() - this.lastReceivedAt;
    if (silentFor >= silenceMilliseconds) {
      this.options.logger.event('peerSilent', {peer: this.name, silentFor});
      this.close();
      return;
    }
    this.cancelSilenceTimer = clock.startTimer(
      silenceMilliseconds - silentFor,
      () => this.watchSilence(),
    );
  }

  private finish(): void {
    if (this.closed) return;
    this.closed = true;
    this.cancelSilenceTimer();
    this.options.onClose(this);
  }
}

function toBytes(data: RawData): Uint8Array {
  if (data instanceof ArrayBuffer) return new Uint8Array(data);
  return Array.isArray(data) ? Buffer.concat(data) : data;
}
