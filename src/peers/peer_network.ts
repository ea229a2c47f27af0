import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {WebSocket, WebSocketServer} from 'ws';
import type {EventLogger} from '../observability/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import {PeerLink} from './_peer_link.ts';
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
import type {PeerMessage} from './peer_message.ts';

/** Options of {@link PeerNetwork}. */
export interface PeerNetworkOptions {
  self: PeerIdentity;
  deployment: string;
  clock: Clock;
  logger: EventLogger;
  /** Milliseconds between attempts to connect. @default 500 */
  reconnectMilliseconds?: number;
  /** Milliseconds of silence after which a link is closed. @default 2500 */
  idleTimeoutMilliseconds?: number;
  /** Largest message in bytes. @default 16777216 */
  maximumMessageBytes?: number;
  /** Bytes that may wait to be sent to one peer. @default 33554432 */
  maximumQueuedBytes?: number;
}

const DEFAULT_RECONNECT_MILLISECONDS = 500;
const DEFAULT_SILENCE_MILLISECONDS = 2500;
const DEFAULT_MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024;
const DEFAULT_MAXIMUM_QUEUED_BYTES = 32 * 1024 * 1024;

/**
 * Links to all other hosts. One task per known address keeps a link open;
 * links that others open are accepted as well.
 */
export class PeerNetwork implements PeerChannel {
  readonly self: PeerIdentity;
  private readonly links = new Map<string, Set<PeerLink>>();
  private readonly pendingLinks = new Set<PeerLink>();
  private readonly handlers = new Set<PeerMessageHandler>();
  private readonly observers = new Set<(event: PeerConnectionEvent) => void>();
  private readonly dialers = new Map<string, AbortController>();
  private readonly hostIdByAddress = new Map<string, string>();
  private server: Server | undefined;

  constructor(private readonly options: PeerNetworkOptions) {
    this.self = options.self;
  }

  /** Accepts links on a server that listens already. */
  static async listen(address: string, port: number): Promise<Server> {
    const server = createServer((_request, response) => {
      response.writeHead(426).end();
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, address, resolve);
    });
    return server;
  }

  /** Starts to accept links. */
  start(server: Server): void {
    this.server = server;
    const sockets = new WebSocketServer({
      server,
      maxPayload: this.maximumMessageBytes,
      perMessageDeflate: false,
    });
    sockets.on('connection', (socket, request) => {
      const {remoteAddress, remotePort} = request.socket;
      this.openLink(socket, `${remoteAddress}:${remotePort}`);
    });
  }

  /** Keeps links open to exactly these addresses. */
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
    return [...this.links.values()].flatMap(links => {
      const link = newest(links);
      return link?.peer === undefined ? [] : [link.peer];
    });
  }

  send(hostId: string, message: PeerMessage): boolean {
    const link = newest(this.links.get(hostId));
    if (link === undefined) return false;
    link.send(message);
    return true;
  }

  broadcast(message: PeerMessage): void {
    for (const links of this.links.values()) newest(links)?.send(message);
  }

  onMessage(handler: PeerMessageHandler): () => void {
    this.handlers.add(handler);
    return () => {
      this.handlers.delete(handler);
    };
  }

  onConnectionEvent(
    observer: (event: PeerConnectionEvent) => void,
  ): () => void {
    this.observers.add(observer);
    return () => {
      this.observers.delete(observer);
    };
  }

  /** Closes all links and stops listening. */
  async stop(): Promise<void> {
    this.setAddresses([]);
    for (const link of this.pendingLinks) link.close();
    for (const links of [...this.links.values()]) {
      for (const link of [...links]) link.close();
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

  /** The task of one address: connect, wait for the end, connect again. */
  private async keepConnected(
    address: string,
    signal: AbortSignal,
  ): Promise<void> {
    const pause =
      this.options.reconnectMilliseconds ?? DEFAULT_RECONNECT_MILLISECONDS;
    while (!signal.aborted) {
      if (!this.hasLinkTo(address)) await this.dial(address, signal);
      await sleep(this.options.clock, pause, signal);
    }
  }

  private hasLinkTo(address: string): boolean {
    const hostId = this.hostIdByAddress.get(address);
    if (hostId === undefined) return false;
    return newest(this.links.get(hostId))?.peer?.peerAddress === address;
  }

  /** Connects once and returns when the link has ended. */
  private async dial(address: string, signal: AbortSignal): Promise<void> {
    const silence =
      this.options.idleTimeoutMilliseconds ?? DEFAULT_SILENCE_MILLISECONDS;
    const socket = new WebSocket(address, {
      maxPayload: this.maximumMessageBytes,
      perMessageDeflate: false,
      handshakeTimeout: silence,
    });
    const abort = () => socket.terminate();
    signal.addEventListener('abort', abort, {once: true});
    await new Promise<void>(resolve => {
      // The greeting can arrive together with the answer to the handshake, so
      // the link must listen before control returns to the event loop.
      socket.once('open', () => this.openLink(socket, address));
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
    this.observe({
      kind: 'refused',
      hostId: this.hostIdByAddress.get(address),
      peerAddress: address,
    });
  }

  private openLink(socket: WebSocket, remote: string): void {
    const link = new PeerLink({
      socket,
      greeting: this.greeting,
      remote,
      clock: this.options.clock,
      logger: this.options.logger,
      silenceMilliseconds:
        this.options.idleTimeoutMilliseconds ?? DEFAULT_SILENCE_MILLISECONDS,
      maximumQueuedBytes:
        this.options.maximumQueuedBytes ?? DEFAULT_MAXIMUM_QUEUED_BYTES,
      onOpen: (opened, peer) => this.linkOpened(opened, peer),
      onMessage: (_link, peer, message) => {
        for (const handler of this.handlers) handler(peer, message);
      },
      onClose: closed => this.linkClosed(closed),
    });
    this.pendingLinks.add(link);
  }

  private get greeting(): PeerGreeting {
    return {
      kind: 'greeting',
      protocolVersion: PEER_PROTOCOL_VERSION,
      deployment: this.options.deployment,
      ...this.self,
    };
  }

  private linkOpened(link: PeerLink, peer: PeerIdentity): void {
    this.pendingLinks.delete(link);
    if (peer.hostId === this.self.hostId) {
      link.close();
      return;
    }
    let links = this.links.get(peer.hostId);
    if (links === undefined) {
      links = new Set();
      this.links.set(peer.hostId, links);
    }
    const first = links.size === 0;
    links.add(link);
    this.hostIdByAddress.set(peer.peerAddress, peer.hostId);
    if (!first && isSameProcess(links, peer)) return;
    this.options.logger.event('peerConnected', {
      peer: peer.hostId,
      incarnation: peer.incarnation,
    });
    this.observe({kind: 'connected', peer});
  }

  private linkClosed(link: PeerLink): void {
    this.pendingLinks.delete(link);
    const {peer} = link;
    if (peer === undefined) return;
    const links = this.links.get(peer.hostId);
    if (links === undefined || !links.delete(link) || links.size > 0) return;
    this.links.delete(peer.hostId);
    this.options.logger.event('peerDisconnected', {peer: peer.hostId});
    this.observe({kind: 'disconnected', peer});
  }

  private observe(observation: PeerConnectionEvent): void {
    for (const observer of this.observers) observer(observation);
  }
}

/** The link that was opened last, which a silent older one cannot shadow. */
function newest(links: Set<PeerLink> | undefined): PeerLink | undefined {
  return links === undefined ? undefined : [...links].at(-1);
}

function isSameProcess(links: Set<PeerLink>, peer: PeerIdentity): boolean {
  return [...links].every(link => link.peer?.incarnation === peer.incarnation);
}

/** Port on which a server listens. */
export function listeningPort(server: Server): number {
  return (server.address() as AddressInfo).port;
}
