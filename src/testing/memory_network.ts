import type {
  PeerChannel,
  PeerIdentity,
  PeerMessage,
  PeerMessageHandler,
  PeerConnectionEvent,
} from '../peers/mod.ts';
import type {CancelTimer, Clock} from '../time/mod.ts';

/** Options of {@link MemoryNetwork}. */
export interface MemoryNetworkOptions {
  clock: Clock;
  latencyMilliseconds: number;
  /** Whether one message is lost. */
  isLost: () => boolean;
}

/** Links between simulated hosts in one process. Development only. */
export class MemoryNetwork {
  readonly peers = new Map<string, MemoryPeer>();
  private readonly everSeen = new Set<string>();
  private incarnations = 0;
  /** Messages sent so far. */
  sent = 0;

  constructor(readonly options: MemoryNetworkOptions) {}

  /** Starts a process on a host and connects it to all others. */
  join(hostId: string): MemoryPeer {
    const incarnation = `run-${++this.incarnations}`;
    const peer = new MemoryPeer(this, {
      hostId,
      incarnation,
      dataCentre: 'centre',
      peerAddress: `ws://${hostId}:1`,
      callerAddress: `http://${hostId}:1`,
    });
    for (const other of this.peers.values()) {
      other.observe({kind: 'connected', peer: peer.self});
    }
    this.peers.set(hostId, peer);
    this.everSeen.add(hostId);
    return peer;
  }

  /** Monotonic clocks of different processes have nothing in common. */
  nextClockOffset(): number {
    return this.incarnations * 7919;
  }

  /** Removes a process; its peers see the link end. */
  leave(peer: MemoryPeer): void {
    this.peers.delete(peer.self.hostId);
    for (const other of this.peers.values()) {
      other.observe({kind: 'disconnected', peer: peer.self});
    }
  }

  /** Tells all peers which hosts refuse connections. */
  reportRefused(): void {
    for (const hostId of this.everSeen) {
      if (this.peers.has(hostId)) continue;
      const peerAddress = `ws://${hostId}:1`;
      for (const peer of this.peers.values()) {
        peer.observe({kind: 'refused', hostId, peerAddress});
      }
    }
  }
}

/** One process: its channel, and a clock that stops while it is paused. */
export class MemoryPeer implements PeerChannel {
  /** Whether the process runs nothing; messages and timers wait. */
  paused = false;
  readonly clock: Clock;
  private alive = true;
  private readonly waiting: (() => void)[] = [];
  private readonly handlers = new Set<PeerMessageHandler>();
  private readonly observers = new Set<(seen: PeerConnectionEvent) => void>();

  constructor(
    private readonly network: MemoryNetwork,
    readonly self: PeerIdentity,
  ) {
    const {clock} = network.options;
    const offset = network.nextClockOffset();
    this.clock = {
      monotonicMilliseconds: () => clock.monotonicMilliseconds() + offset,
      now: () => clock.now(),
      startTimer: (delay, callback): CancelTimer => {
        let cancelled = false;
        const cancel = clock.startTimer(delay, () =>
          this.run(() => {
            if (!cancelled) callback();
          }),
        );
        return () => {
          cancelled = true;
          cancel();
        };
      },
    };
  }

  connectedPeers(): readonly PeerIdentity[] {
    return [...this.network.peers.values()]
      .filter(peer => peer !== this)
      .map(peer => peer.self);
  }

  send(hostId: string, message: PeerMessage): boolean {
    const {clock, latencyMilliseconds, isLost} = this.network.options;
    const target = this.network.peers.get(hostId);
    if (target === undefined || !this.alive) return false;
    this.network.sent++;
    if (isLost()) return true;
    clock.startTimer(latencyMilliseconds, () => {
      target.run(() => {
        for (const handler of target.handlers) handler(this.self, message);
      });
    });
    return true;
  }

  broadcast(message: PeerMessage): void {
    for (const {hostId} of this.connectedPeers()) this.send(hostId, message);
  }

  onMessage(handler: PeerMessageHandler): () => void {
    this.handlers.add(handler);
    return () => this.handlers.delete(handler);
  }

  onConnectionEvent(observer: (seen: PeerConnectionEvent) => void): () => void {
    this.observers.add(observer);
    return () => this.observers.delete(observer);
  }

  /** Delivers an observation. */
  observe(observation: PeerConnectionEvent): void {
    this.run(() => {
      for (const observer of this.observers) observer(observation);
    });
  }

  /** Stops the process for a while. */
  pause(): void {
    this.paused = true;
  }

  /** Runs what came due during the pause, in order. */
  resume(): void {
    this.paused = false;
    for (const action of this.waiting.splice(0)) action();
  }

  /** Ends the process. */
  kill(): void {
    this.alive = false;
    this.network.leave(this);
  }

  private run(action: () => void): void {
    if (!this.alive) return;
    if (this.paused) this.waiting.push(action);
    else action();
  }
}
