import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {WebSocket, WebSocketServer} from 'ws';
import {listenWhenFree, type ListenOptions} from '../listeners/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import {PeerConnection} from './_peer_connection.ts';
import type {
  PeerChannel,
  PeerMessageHandler,
  PeerConnectionEvent,
} from './peer_channel.ts';
import {
  PEER_PROTOCOL_VERSION,
  type PeerGreeting,
  type PeerIdentity,
} from './peer_identity.ts';
import {encodePeerFrame} from './peer_codec.ts';
import type {PeerMessage} from './peer_message.ts';

/** Options of {@link PeerNetwork}. */
export interface PeerNetworkOptions {
  self: PeerIdentity;
  deployment: string;
  clock: Clock;
  logger: EventLogger;
  /** Delay between connection attempts in milliseconds. @default 500 */
  reconnectMilliseconds?: number;
  /** Milliseconds without a received message before closing. @default 2500 */
  idleTimeoutMilliseconds?: number;
  /** Maximum size of a message in bytes. @default 16777216 */
  maximumMessageBytes?: number;
  /** Maximum number of unsent bytes per peer. @default 33554432 */
  maximumQueuedBytes?: number;
  /**
   * Number of unsent bytes from which a peer gets no more state that a later
   * message replaces. @default 65536
   */
  maximumStateQueueBytes?: number;
  /** Called with the bytes of each message, over all receivers. */
  onSent?: (kind: PeerMessage['kind'], bytes: number) => void;
  /** Called for each message that a peer with too many unsent bytes did not get. */
  onSkipped?: (kind: PeerMessage['kind']) => void;
}

const DEFAULT_RECONNECT_MILLISECONDS = 500;
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 2500;
const DEFAULT_MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024;
/** Hosts send each message as one fragment; more only cost memory. */
const MAXIMUM_FRAGMENTS = 16;
const DEFAULT_MAXIMUM_QUEUED_BYTES = 32 * 1024 * 1024;
const DEFAULT_MAXIMUM_STATE_QUEUE_BYTES = 64 * 1024;

/**
 * WebSocket connections to all other hosts. One task per known address keeps a
 * connection open; connections opened by other hosts are accepted as well.
 */
export class PeerNetwork implements PeerChannel {
  readonly self: PeerIdentity;
  private readonly connectionsByHost = new Map<string, Set<PeerConnection>>();
  private readonly pendingConnections = new Set<PeerConnection>();
  private readonly handlers = new Set<PeerMessageHandler>();
  private readonly eventListeners = new Set<
    (event: PeerConnectionEvent) => void
  >();
  private readonly dialers = new Map<string, AbortController>();
  private readonly hostIdByAddress = new Map<string, string>();
  private server: Server | undefined;

  constructor(private readonly options: PeerNetworkOptions) {
    this.self = options.self;
  }

  /** Creates a server that listens once its address is free; {@link start} uses it. */
  static async listen(options: Omit<ListenOptions, 'name'>): Promise<Server> {
    const server = createServer((_request, response) => {
      response.writeHead(426).end();
    });
    await listenWhenFree(server, {...options, name: 'peers'});
    return server;
  }

  /** Starts to accept connections. */
  start(server: Server): void {
    this.server = server;
    const sockets = new WebSocketServer({
      server,
      maxPayload: this.maximumMessageBytes,
      maxFragments: MAXIMUM_FRAGMENTS,
      perMessageDeflate: false,
    });
    // `ws` repeats errors of the server, which listenWhenFree logs.
    sockets.on('error', () => undefined);
    sockets.on('connection', (socket, request) => {
      const {remoteAddress, remotePort} = request.socket;
      this.openConnection(socket, `${remoteAddress}:${remotePort}`);
    });
  }

  /** Sets the addresses to which this host keeps connections open. */
  setAddresses(addresses: Iterable<string>): void {
    const wanted = new Set(addresses);
    wanted.delete(this.self.peerAddress);
    for (const [address, controller] of this.dialers) {
      if (wanted.has(address)) continue;
      controller.abort();
      this.dialers.delete(address);
    }
    for (const address of wanted) {
      if (this.dialers.has(address)) continue;
      const controller = new AbortController();
      this.dialers.set(address, controller);
      void this.keepConnected(address, controller.signal);
    }
  }

  connectedPeers(): readonly PeerIdentity[] {
    return [...this.connectionsByHost.values()].flatMap(connections => {
      const connection = newestConnection(connections);
      return connection?.peer === undefined ? [] : [connection.peer];
    });
  }

  send(hostId: string, message: PeerMessage): boolean {
    const connection = newestConnection(this.connectionsByHost.get(hostId));
    if (connection === undefined) return false;
    this.sendEncoded([connection], message);
    return true;
  }

  broadcast(message: PeerMessage): void {
    this.sendToAll(this.connectionsByHost.keys(), message);
  }

  /**
   * Sends state that a later message replaces. A peer with many unsent bytes does not
   * get it, since old state would delay what follows on a slow link.
   */
  sendState(hostIds: Iterable<string>, message: PeerMessage): void {
    const limit =
      this.options.maximumStateQueueBytes ?? DEFAULT_MAXIMUM_STATE_QUEUE_BYTES;
    const connections = this.connectionsTo(hostIds);
    const ready = connections.filter(({queuedBytes}) => queuedBytes <= limit);
    if (ready.length > 0) this.sendEncoded(ready, message);
    for (let skipped = ready.length; skipped < connections.length; skipped++)
      this.options.onSkipped?.(message.kind);
  }

  /** Queues a message, encoded once, for those of the hosts that are connected. */
  sendToAll(hostIds: Iterable<string>, message: PeerMessage): void {
    const connections = this.connectionsTo(hostIds);
    if (connections.length > 0) this.sendEncoded(connections, message);
  }

  private connectionsTo(hostIds: Iterable<string>): readonly PeerConnection[] {
    return [...hostIds].flatMap(
      hostId => newestConnection(this.connectionsByHost.get(hostId)) ?? [],
    );
  }

  /** Bytes of messages to all peers that are not sent yet. */
  get queuedBytes(): number {
    let bytes = 0;
    for (const connections of this.connectionsByHost.values()) {
      for (const connection of connections) bytes += connection.queuedBytes;
    }
    return bytes;
  }

  private sendEncoded(
    connections: readonly PeerConnection[],
    message: PeerMessage,
  ): void {
    const frame = encodePeerFrame(message);
    for (const connection of connections) connection.send(frame);
    this.options.onSent?.(message.kind, frame.length * connections.length);
  }

  onMessage(handler: PeerMessageHandler): () => void {
    this.handlers.add(handler);
    return () => {
      this.handlers.delete(handler);
    };
  }

  onConnectionEvent(
    listener: (event: PeerConnectionEvent) => void,
  ): () => void {
    this.eventListeners.add(listener);
    return () => {
      this.eventListeners.delete(listener);
    };
  }

  /** Closes all connections and stops listening. */
  async stop(): Promise<void> {
    this.setAddresses([]);
    for (const connection of this.pendingConnections) connection.close();
    for (const connections of [...this.connectionsByHost.values()]) {
      for (const connection of [...connections]) connection.close();
    }
    const {server} = this;
    if (server === undefined) return;
    await new Promise<void>(resolve => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  }

  private get maximumMessageBytes(): number {
    return this.options.maximumMessageBytes ?? DEFAULT_MAXIMUM_MESSAGE_BYTES;
  }

  /** Connects to an address and reconnects when the connection ends. */
  private async keepConnected(
    address: string,
    signal: AbortSignal,
  ): Promise<void> {
    const pause =
      this.options.reconnectMilliseconds ?? DEFAULT_RECONNECT_MILLISECONDS;
    while (!signal.aborted) {
      if (!this.isConnectedTo(address)) await this.dial(address, signal);
      await sleep(this.options.clock, pause, signal);
    }
  }

  private isConnectedTo(address: string): boolean {
    const hostId = this.hostIdByAddress.get(address);
    if (hostId === undefined) return false;
    return (
      newestConnection(this.connectionsByHost.get(hostId))?.peer
        ?.peerAddress === address
    );
  }

  /** Connects once and returns when the connection has closed. */
  private async dial(address: string, signal: AbortSignal): Promise<void> {
    const idleTimeout =
      this.options.idleTimeoutMilliseconds ?? DEFAULT_IDLE_TIMEOUT_MILLISECONDS;
    const socket = new WebSocket(address, {
      maxPayload: this.maximumMessageBytes,
      maxFragments: MAXIMUM_FRAGMENTS,
      perMessageDeflate: false,
      handshakeTimeout: idleTimeout,
    });
    const abort = () => socket.terminate();
    signal.addEventListener('abort', abort, {once: true});
    await new Promise<void>(resolve => {
      // The greeting can arrive together with the handshake response, so the
      // message listener must be attached before returning to the event loop.
      socket.once('open', () => this.openConnection(socket, address));
      socket.once('error', error => this.reportDialFailure(address, error));
      socket.once('close', () => resolve());
    });
    signal.removeEventListener('abort', abort);
  }

  private reportDialFailure(address: string, error: Error): void {
    const code = 'code' in error ? error.code : undefined;
    this.options.logger.event('peerRefused', {
      address,
      reason: error.message,
    });
    if (code !== 'ECONNREFUSED') return;
    this.emit({
      kind: 'refused',
      hostId: this.hostIdByAddress.get(address),
      peerAddress: address,
    });
  }

  private openConnection(socket: WebSocket, remote: string): void {
    const connection = new PeerConnection({
      socket,
      greeting: this.greeting,
      remote,
      clock: this.options.clock,
      logger: this.options.logger,
      idleTimeoutMilliseconds:
        this.options.idleTimeoutMilliseconds ??
        DEFAULT_IDLE_TIMEOUT_MILLISECONDS,
      maximumQueuedBytes:
        this.options.maximumQueuedBytes ?? DEFAULT_MAXIMUM_QUEUED_BYTES,
      onOpen: (opened, peer) => this.handleOpen(opened, peer),
      onMessage: (_connection, peer, message) => {
        for (const handler of this.handlers) handler(peer, message);
      },
      onClose: closed => this.handleClose(closed),
    });
    this.pendingConnections.add(connection);
  }

  private get greeting(): PeerGreeting {
    return {
      kind: 'greeting',
      protocolVersion: PEER_PROTOCOL_VERSION,
      deployment: this.options.deployment,
      ...this.self,
    };
  }

  private handleOpen(connection: PeerConnection, peer: PeerIdentity): void {
    this.pendingConnections.delete(connection);
    if (peer.hostId === this.self.hostId) {
      connection.close();
      return;
    }
    let connections = this.connectionsByHost.get(peer.hostId);
    if (connections === undefined) {
      connections = new Set();
      this.connectionsByHost.set(peer.hostId, connections);
    }
    const first = connections.size === 0;
    connections.add(connection);
    this.hostIdByAddress.set(peer.peerAddress, peer.hostId);
    if (!first && isSameProcess(connections, peer)) return;
    this.options.logger.event('peerConnected', {
      peer: peer.hostId,
      incarnation: peer.incarnation,
    });
    this.emit({kind: 'connected', peer});
  }

  private handleClose(connection: PeerConnection): void {
    this.pendingConnections.delete(connection);
    const {peer} = connection;
    if (peer === undefined) return;
    const connections = this.connectionsByHost.get(peer.hostId);
    if (
      connections === undefined ||
      !connections.delete(connection) ||
      connections.size > 0
    )
      return;
    this.connectionsByHost.delete(peer.hostId);
    this.options.logger.event('peerDisconnected', {peer: peer.hostId});
    this.emit({kind: 'disconnected', peer});
  }

  private emit(event: PeerConnectionEvent): void {
    for (const listener of this.eventListeners) listener(event);
  }
}

/**
 * Returns the connection opened last; an older one may be dead without having
 * been closed yet.
 */
function newestConnection(
  connections: Set<PeerConnection> | undefined,
): PeerConnection | undefined {
  return connections === undefined ? undefined : [...connections].at(-1);
}

function isSameProcess(
  connections: Set<PeerConnection>,
  peer: PeerIdentity,
): boolean {
  return [...connections].every(
    connection => connection.peer?.incarnation === peer.incarnation,
  );
}

/** Port on which a server listens. */
export function listeningPort(server: Server): number {
  return (server.address() as AddressInfo).port;
}
