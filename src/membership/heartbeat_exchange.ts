import type {ChangeLog} from '../contracts/mod.ts';
import type {
  PeerChannel,
  PeerIdentity,
  PeerMessage,
  PeerMessageOf,
  PeerConnectionEvent,
} from '../peers/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';

/** A peer's reply to a heartbeat. */
export interface HeartbeatReply {
  readonly peer: PeerIdentity;
  /** Monotonic time of this host at which it sent the heartbeat. */
  readonly askedAt: number;
  /** Version of the peer's copy of the authority. */
  readonly version: number;
  /** Whether the peer's view has been confirmed since its process started. */
  readonly remembers: boolean;
  /** Whether the peer is shutting down. */
  readonly leaving: boolean;
  /** Members from which the peer received nothing within the view timeout. */
  readonly silentPeers: readonly string[];
}

/** Options of {@link HeartbeatExchange}. */
export interface HeartbeatExchangeOptions {
  channel: PeerChannel;
  changeLog: ChangeLog;
  clock: Clock;
  /** Whether this host is about to stop. @default () => false */
  isLeaving?: () => boolean;
  /** View timeout in milliseconds; T in the design. @default 3000 */
  viewTimeoutMilliseconds?: number;
  /**
   * Milliseconds between two heartbeats to one peer; doubled while the table
   * confirms the view. @default 750
   */
  intervalMilliseconds?: number;
}

/** Default of the view timeout, T in the design. */
export const DEFAULT_VIEW_TIMEOUT_MILLISECONDS = 3000;

/** Four heartbeats per view timeout, so that three in a row may be lost. */
const DEFAULT_INTERVAL_MILLISECONDS = 750;

/**
 * Sends heartbeats to every connected peer, replies to theirs, and keeps the
 * latest reply of each peer. Each connected peer has its own sending task.
 */
export class HeartbeatExchange {
  /** Whether the view has been confirmed since this process started. */
  hasBeenConfirmed = false;
  /**
   * Whether heartbeats are sent at half the rate, as the table confirms the
   * view.
   */
  reducedRate = false;
  /** Monotonic time at which {@link start} was called. */
  startedAt = 0;
  private readonly replies = new Map<string, HeartbeatReply>();
  private readonly lastReceivedAt = new Map<string, number>();
  private readonly tasks = new Map<string, AbortController>();
  private readonly addresses = new Map<string, string>();
  private recordedMembers: unknown;
  private readonly listeners = new Set<(reply: HeartbeatReply) => void>();
  private readonly unsubscribe: (() => void)[] = [];
  private readonly stopping = new AbortController();
  /** Monotonic time of the start, or of the end of the latest pause. */
  private listeningSince = 0;
  /** Monotonic time of the latest check for pauses. */
  private lastTickAt = 0;

  constructor(private readonly options: HeartbeatExchangeOptions) {}

  /** Starts a heartbeat task for each connected peer. */
  start(): void {
    const {channel, clock} = this.options;
    this.startedAt = clock.monotonicMilliseconds();
    this.listeningSince = this.startedAt;
    this.lastTickAt = this.startedAt;
    this.unsubscribe.push(
      channel.onMessage((from, message) => this.receive(from, message)),
      channel.onConnectionEvent(observation => this.observe(observation)),
      this.options.changeLog.subscribe(() => this.recordAddresses()),
    );
    this.recordAddresses();
    for (const peer of channel.connectedPeers()) this.startTask(peer.hostId);
    void this.detectPauses();
  }

  /** Stops all tasks and removes all listeners from the channel and the log. */
  stop(): void {
    this.stopping.abort();
    for (const remove of this.unsubscribe) remove();
    for (const task of this.tasks.values()) task.abort();
    this.tasks.clear();
  }

  /** View timeout in milliseconds; T in the design. */
  get viewTimeoutMilliseconds(): number {
    return (
      this.options.viewTimeoutMilliseconds ?? DEFAULT_VIEW_TIMEOUT_MILLISECONDS
    );
  }

  /** Current number of milliseconds between two heartbeats to one peer. */
  get intervalMilliseconds(): number {
    const interval =
      this.options.intervalMilliseconds ?? DEFAULT_INTERVAL_MILLISECONDS;
    return this.reducedRate ? 2 * interval : interval;
  }

  /** Sends a heartbeat to every connected peer immediately. */
  sendToAll(): void {
    for (const hostId of this.tasks.keys()) this.sendHeartbeat(hostId);
  }

  /**
   * Latest reply of a member. A reply from an address other than the one in the
   * member list is ignored: connections refused at the recorded address count
   * as proof that the member has no process.
   */
  latestReply(hostId: string): HeartbeatReply | undefined {
    const latest = this.replies.get(hostId);
    if (latest === undefined) return undefined;
    const address = this.addressOf(hostId) ?? latest.peer.peerAddress;
    return address === latest.peer.peerAddress ? latest : undefined;
  }

  /**
   * Address of a member in the member list; for a removed member, the last
   * recorded one.
   */
  addressOf(hostId: string): string | undefined {
    // Listeners of the log run in order of registration, so a listener that
    // calls this may run before the one that updates the addresses.
    this.recordAddresses();
    return this.addresses.get(hostId);
  }

  /**
   * Addresses to stay connected to: those of the current members, and of the
   * members before the latest change of the list, whose replies may be needed
   * to prove that the change is in effect.
   */
  peerAddresses(): ReadonlySet<string> {
    const {members, previousMembers} = this.options.changeLog.authority;
    const hostIds = new Set([...members.keys(), ...previousMembers]);
    hostIds.delete(this.options.channel.self.hostId);
    return new Set(
      [...hostIds].flatMap(hostId => this.addressOf(hostId) ?? []),
    );
  }

  /**
   * Registers a listener for new replies; returns a function that removes it.
   */
  onReply(listener: (reply: HeartbeatReply) => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /**
   * Whether a message arrived from a host within the view timeout. A host that
   * was never heard from counts as responsive until this process has listened
   * for that long.
   */
  isResponsive(hostId: string): boolean {
    return (
      hostId === this.options.channel.self.hostId || !this.isSilent(hostId)
    );
  }

  /**
   * Whether a host was heard from within the view timeout and is not leaving.
   */
  isLive(hostId: string): boolean {
    if (hostId === this.options.channel.self.hostId) return !this.isLeaving;
    return (
      this.lastReceivedAt.has(hostId) &&
      !this.isSilent(hostId) &&
      this.replies.get(hostId)?.leaving !== true
    );
  }

  private get isLeaving(): boolean {
    return this.options.isLeaving?.() ?? false;
  }

  private isSilent(hostId: string): boolean {
    // Nothing is received while this process is paused, so silence is measured
    // from its resumption.
    const receivedAt = this.lastReceivedAt.get(hostId) ?? this.listeningSince;
    const since = Math.max(receivedAt, this.listeningSince);
    const now = this.options.clock.monotonicMilliseconds();
    if (now - this.lastTickAt > this.viewTimeoutMilliseconds / 2) return false;
    return now - since > this.viewTimeoutMilliseconds;
  }

  /** Detects that this process was paused from a check that runs late. */
  private async detectPauses(): Promise<void> {
    const {clock} = this.options;
    const {signal} = this.stopping;
    while (!signal.aborted) {
      const now = clock.monotonicMilliseconds();
      const gap = now - this.lastTickAt;
      if (gap > this.viewTimeoutMilliseconds / 2) this.listeningSince = now;
      this.lastTickAt = now;
      await sleep(clock, this.viewTimeoutMilliseconds / 6, signal);
    }
  }

  private recordAddresses(): void {
    const {members} = this.options.changeLog.authority;
    if (members === this.recordedMembers) return;
    this.recordedMembers = members;
    for (const {hostId, peerAddress} of members.values()) {
      this.addresses.set(hostId, peerAddress);
    }
  }

  private observe(observation: PeerConnectionEvent): void {
    switch (observation.kind) {
      case 'connected':
        this.startTask(observation.peer.hostId);
        break;
      case 'disconnected':
        this.tasks.get(observation.peer.hostId)?.abort();
        this.tasks.delete(observation.peer.hostId);
        break;
      case 'refused':
        break;
    }
  }

  private startTask(hostId: string): void {
    if (this.tasks.has(hostId) || this.stopping.signal.aborted) return;
    const controller = new AbortController();
    this.tasks.set(hostId, controller);
    void this.sendPeriodically(hostId, controller.signal);
  }

  private async sendPeriodically(
    hostId: string,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      this.sendHeartbeat(hostId);
      await sleep(this.options.clock, this.intervalMilliseconds, signal);
    }
  }

  private sendHeartbeat(hostId: string): void {
    this.options.channel.send(hostId, {
      kind: 'heartbeat',
      askedAt: this.options.clock.monotonicMilliseconds(),
      version: this.options.changeLog.authority.version,
      remembers: this.hasBeenConfirmed,
      leaving: this.isLeaving,
    });
  }

  private receive(from: PeerIdentity, message: PeerMessage): void {
    const now = this.options.clock.monotonicMilliseconds();
    this.lastReceivedAt.set(from.hostId, now);
    if (message.kind === 'heartbeat') this.reply(from, message);
    if (message.kind === 'heartbeat_reply') this.recordReply(from, message);
  }

  private reply(from: PeerIdentity, message: PeerMessageOf<'heartbeat'>): void {
    const {channel, changeLog} = this.options;
    channel.send(from.hostId, {
      kind: 'heartbeat_reply',
      askedAt: message.askedAt,
      version: changeLog.authority.version,
      remembers: this.hasBeenConfirmed,
      leaving: this.isLeaving,
      silentPeers: [...changeLog.authority.members.keys()].filter(
        hostId => !this.isResponsive(hostId),
      ),
    });
  }

  private recordReply(
    from: PeerIdentity,
    message: PeerMessageOf<'heartbeat_reply'>,
  ): void {
    const {askedAt} = message;
    // A reply to a heartbeat sent before a restart of this host has a time of
    // another monotonic clock.
    if (askedAt > this.options.clock.monotonicMilliseconds()) return;
    if (askedAt < this.startedAt) return;
    const known = this.replies.get(from.hostId);
    if (known !== undefined && known.askedAt > askedAt) return;
    const reply: HeartbeatReply = {
      peer: from,
      askedAt,
      version: message.version,
      remembers: message.remembers,
      leaving: message.leaving,
      silentPeers: message.silentPeers,
    };
    this.replies.set(from.hostId, reply);
    for (const listener of this.listeners) listener(reply);
  }
}
