import type {RawData, WebSocket} from 'ws';
import type {EventLogger} from '../observability/mod.ts';
import type {CancelTimer, Clock} from '../time/mod.ts';
import {decodePeerFrame, encodePeerFrame} from './peer_codec.ts';
import {
  PEER_PROTOCOL_VERSION,
  type PeerGreeting,
  type PeerIdentity,
} from './peer_identity.ts';
import type {PeerMessage} from './peer_message.ts';

/** Options of {@link PeerConnection}. */
export interface PeerConnectionOptions {
  socket: WebSocket;
  greeting: PeerGreeting;
  /** Address of the remote end, for logs. */
  remote: string;
  clock: Clock;
  logger: EventLogger;
  /** Milliseconds without a received message after which the connection is closed. */
  idleTimeoutMilliseconds: number;
  /** Maximum number of unsent bytes; beyond it, the connection is closed. */
  maximumQueuedBytes: number;
  onOpen: (connection: PeerConnection, peer: PeerIdentity) => void;
  onMessage: (
    connection: PeerConnection,
    peer: PeerIdentity,
    message: PeerMessage,
  ) => void;
  onClose: (connection: PeerConnection) => void;
}

/**
 * A WebSocket connection to a peer. Exchanges greetings, validates received
 * messages and closes the connection when a limit is exceeded.
 */
export class PeerConnection {
  /** Identity of the peer; undefined until its greeting has arrived. */
  peer: PeerIdentity | undefined;
  private lastReceivedAt: number;
  private cancelIdleTimer: CancelTimer = () => undefined;
  private closed = false;

  constructor(private readonly options: PeerConnectionOptions) {
    const {socket, clock} = options;
    this.lastReceivedAt = clock.monotonicMilliseconds();
    socket.on('message', data => this.receive(data));
    socket.on('close', () => this.handleClose());
    socket.on('error', () => socket.terminate());
    this.write(encodePeerFrame(options.greeting));
    this.checkIdleTimeout();
  }

  /**
   * Queues an encoded message; closes the connection if too many bytes are unsent.
   */
  send(frame: Uint8Array): void {
    if (this.closed) return;
    if (this.options.socket.bufferedAmount > this.options.maximumQueuedBytes) {
      this.options.logger.event('peerOverloaded', {peer: this.name});
      this.close();
      return;
    }
    this.write(frame);
  }

  /** Bytes that were handed to the connection but not sent yet. */
  get queuedBytes(): number {
    return this.options.socket.bufferedAmount;
  }

  /** Closes the connection immediately, without a closing handshake. */
  close(): void {
    this.options.socket.terminate();
    this.handleClose();
  }

  private get name(): string {
    return this.peer?.hostId ?? this.options.remote;
  }

  private write(frame: Uint8Array): void {
    this.options.socket.send(frame, {binary: true}, () => {
      // A failed send also closes the socket, which is handled in handleClose.
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
      this.handleGreeting(frame.value);
      return;
    }
    if (this.peer === undefined) {
      this.reject('The first message is not a greeting');
      return;
    }
    this.options.onMessage(this, this.peer, frame.value);
  }

  private handleGreeting(greeting: PeerGreeting): void {
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

  private checkIdleTimeout(): void {
    const {clock, idleTimeoutMilliseconds: silenceMilliseconds} = this.options;
    const silentFor = clock.monotonicMilliseconds() - this.lastReceivedAt;
    if (silentFor >= silenceMilliseconds) {
      this.options.logger.event('peerSilent', {peer: this.name, silentFor});
      this.close();
      return;
    }
    this.cancelIdleTimer = clock.startTimer(
      silenceMilliseconds - silentFor,
      () => this.checkIdleTimeout(),
    );
  }

  private handleClose(): void {
    if (this.closed) return;
    this.closed = true;
    this.cancelIdleTimer();
    this.options.onClose(this);
  }
}

function toBytes(data: RawData): Uint8Array {
  if (data instanceof ArrayBuffer) return new Uint8Array(data);
  return Array.isArray(data) ? Buffer.concat(data) : data;
}
