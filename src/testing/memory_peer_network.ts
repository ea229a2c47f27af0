import type {
  PeerChannel,
  PeerIdentity,
  PeerMessage,
  PeerMessageHandler,
  PeerConnectionEvent,
} from '../peers/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {PausableClock} from './pausable_clock.ts';

/** Milliseconds between attempts to connect to an address. */
const DIAL_MILLISECONDS = 500;

/** Links between simulated processes, with faults that tests switch on. */
export class MemoryPeerNetwork {
  /** Decides for each message whether it is lost. */
  losesMessage: (from: string, to: string) => boolean = () => false;
  /** Milliseconds until a message arrives. */
  delayOf: (from: string, to: string, message: PeerMessage) => number = () => 1;
  /** Called for each message that is sent. */
  onSend: (from: string, message: PeerMessage) => void = () => undefined;
  private readonly channels = new Map<string, MemoryPeerChannel>();
  private readonly silentPairs = new Set<string>();
  /** Links, by the two incarnations. */
  private readonly links = new Set<string>();

  constructor(private readonly clock: Clock) {}

  /** Opens the channel of a process and connects it to all others. */
  open(self: PeerIdentity, clock: PausableClock): MemoryPeerChannel {
    const channel = new MemoryPeerChannel(this, self, clock);
    this.channels.set(self.hostId, channel);
    for (const other of this.channels.values()) this.connect(channel, other);
    return channel;
  }

  /** Ends a process; connections to its address are refused from now on. */
  close(hostId: string): void {
    const channel = this.channels.get(hostId);
    if (channel === undefined) return;
    this.channels.delete(hostId);
    for (const other of this.channels.values()) {
      if (!this.links.delete(linkName(channel, other))) continue;
      other.observe({kind: 'disconnected', peer: channel.self});
    }
    this.refuse(channel.self);
  }

  /**
   * Makes the connection between two hosts silent in both directions, or not.
   * An open link stays open and silent; a new one opens after the silence.
   */
  setSilent(left: string, right: string, silent: boolean): void {
    for (const pair of [`${left}>${right}`, `${right}>${left}`]) {
      if (silent) this.silentPairs.add(pair);
      else this.silentPairs.delete(pair);
    }
    const [one, other] = [this.channels.get(left), this.channels.get(right)];
    if (one !== undefined && other !== undefined) this.connect(one, other);
  }

  /** Makes every link of a host silent, or not. */
  isolate(hostId: string, silent: boolean, hostIds: Iterable<string>): void {
    for (const other of hostIds) {
      if (other !== hostId) this.setSilent(hostId, other, silent);
    }
  }

  /** Processes to which a process has links. */
  peersOf(hostId: string): readonly PeerIdentity[] {
    const self = this.channels.get(hostId);
    if (self === undefined) return [];
    return [...this.channels.values()]
      .filter(channel => this.links.has(linkName(self, channel)))
      .map(channel => channel.self);
  }

  /** Carries a message to the process that it was sent to. */
  carry(from: PeerIdentity, to: string, message: PeerMessage): boolean {
    const target = this.channels.get(to);
    const source = this.channels.get(from.hostId);
    if (target === undefined || source === undefined) return false;
    if (!this.links.has(linkName(source, target))) return false;
    this.onSend(from.hostId, message);
    if (this.silentPairs.has(`${from.hostId}>${to}`)) return true;
    if (this.losesMessage(from.hostId, to)) return true;
    this.clock.startTimer(this.delayOf(from.hostId, to, message), () => {
      // A message of one link does not reach the process of a later one.
      if (this.channels.get(to) !== target) return;
      target.deliver(from, message);
    });
    return true;
  }

  private connect(left: MemoryPeerChannel, right: MemoryPeerChannel): void {
    const [from, to] = [left.self, right.self];
    const name = linkName(left, right);
    if (from.hostId === to.hostId || this.links.has(name)) return;
    if (this.silentPairs.has(`${from.hostId}>${to.hostId}`)) return;
    this.links.add(name);
    left.observe({kind: 'connected', peer: to});
    right.observe({kind: 'connected', peer: from});
  }

  private refuse(peer: PeerIdentity): void {
    this.clock.startTimer(DIAL_MILLISECONDS, () => {
      if (this.channels.has(peer.hostId)) return;
      for (const other of this.channels.values()) {
        if (this.silentPairs.has(`${other.self.hostId}>${peer.hostId}`)) {
          continue;
        }
        const {hostId, peerAddress} = peer;
        other.observe({kind: 'refused', hostId, peerAddress});
      }
      this.refuse(peer);
    });
  }
}

/** {@link PeerChannel} of one process in a {@link MemoryPeerNetwork}. */
export class MemoryPeerChannel implements PeerChannel {
  private readonly handlers = new Set<PeerMessageHandler>();
  private readonly observers = new Set<(event: PeerConnectionEvent) => void>();

  constructor(
    private readonly network: MemoryPeerNetwork,
    readonly self: PeerIdentity,
    private readonly clock: PausableClock,
  ) {}

  connectedPeers(): readonly PeerIdentity[] {
    return this.network.peersOf(this.self.hostId);
  }

  send(hostId: string, message: PeerMessage): boolean {
    return this.network.carry(this.self, hostId, message);
  }

  broadcast(message: PeerMessage): void {
    for (const peer of this.connectedPeers()) this.send(peer.hostId, message);
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

  /** Hands a message to the process. */
  deliver(from: PeerIdentity, message: PeerMessage): void {
    this.clock.run(() => {
      for (const handler of this.handlers) handler(from, message);
    });
  }

  /** Reports an observation to the process. */
  observe(observation: PeerConnectionEvent): void {
    this.clock.run(() => {
      for (const observer of this.observers) observer(observation);
    });
  }
}

function linkName(left: MemoryPeerChannel, right: MemoryPeerChannel): string {
  return [left.self.incarnation, right.self.incarnation].sort().join('<>');
}
