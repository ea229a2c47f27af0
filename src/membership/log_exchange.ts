import {
  type ChangeLog,
  decodeSnapshot,
  encodeSnapshot,
  type LogEntry,
} from '../contracts/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {PeerChannel, PeerIdentity, PeerMessage} from '../peers/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {HeartbeatExchange} from './heartbeat_exchange.ts';

/** Options of {@link LogExchange}. */
export interface LogExchangeOptions {
  channel: PeerChannel;
  changeLog: ChangeLog;
  heartbeats: HeartbeatExchange;
  clock: Clock;
  logger: EventLogger;
  /**
   * Milliseconds after which an unanswered request is repeated. @default 500
   */
  requestRetryMilliseconds?: number;
  /** Maximum number of entries per message. @default 200 */
  maximumEntries?: number;
}

const DEFAULT_REQUEST_RETRY_MILLISECONDS = 500;
const DEFAULT_MAXIMUM_ENTRIES = 200;

/**
 * Replicates the change log between peers: sends entries to peers that are
 * behind, and requests them from peers that are ahead. Entries that this host
 * committed or read from the table are pushed to the peers that are not known
 * to have them. Entries received from a peer are not forwarded, as the host
 * that committed or read them pushes them to all of its peers.
 */
export class LogExchange {
  /** Latest version reported by or sent to each peer, by host id. */
  private readonly peerVersions = new Map<string, number>();
  private readonly listeners = new Set<() => void>();
  private removeListeners: (() => void)[] = [];
  /** Whether the entries being applied came from a peer. */
  private applyingFromPeer = false;
  private requestedAt = -Infinity;
  private requestedAfter = -1;

  constructor(private readonly options: LogExchangeOptions) {}

  /** Starts to send, request and receive entries. */
  start(): void {
    const {channel, changeLog} = this.options;
    this.removeListeners = [
      channel.onMessage((from, message) => this.receive(from, message)),
      channel.onConnectionEvent(observation => {
        if (observation.kind !== 'connected') return;
        this.peerVersions.delete(observation.peer.hostId);
      }),
      changeLog.subscribe((_authority, entry) => this.push(entry)),
    ];
  }

  /** Stops the exchange. */
  stop(): void {
    for (const remove of this.removeListeners) remove();
  }

  /**
   * Registers a listener that is called after entries were pushed; returns a
   * function that removes it.
   */
  onPush(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  private receive(from: PeerIdentity, message: PeerMessage): void {
    switch (message.kind) {
      case 'heartbeat':
      case 'heartbeat_reply':
        this.peerVersions.set(from.hostId, message.version);
        this.requestFrom(from.hostId, message.version);
        break;
      case 'log_request':
        this.sendEntriesAfter(from.hostId, message.afterVersion);
        break;
      case 'log_entries':
        this.apply(from.hostId, message.entries);
        break;
      case 'snapshot':
        this.installSnapshot(message.content);
        break;
      default:
        break;
    }
  }

  private requestFrom(hostId: string, version: number): void {
    const {clock, changeLog, channel} = this.options;
    const ownVersion = changeLog.authority.version;
    if (version <= ownVersion) return;
    const now = clock.monotonicMilliseconds();
    const retryInterval =
      this.options.requestRetryMilliseconds ??
      DEFAULT_REQUEST_RETRY_MILLISECONDS;
    if (
      this.requestedAfter === ownVersion &&
      now - this.requestedAt < retryInterval
    ) {
      return;
    }
    this.requestedAt = now;
    this.requestedAfter = ownVersion;
    channel.send(hostId, {kind: 'log_request', afterVersion: ownVersion});
  }

  private sendEntriesAfter(hostId: string, afterVersion: number): void {
    const {changeLog, channel} = this.options;
    const {authority} = changeLog;
    if (authority.version <= afterVersion) return;
    const entries = changeLog.entriesAfter(afterVersion);
    if (entries === undefined) {
      channel.send(hostId, {
        kind: 'snapshot',
        content: new Uint8Array(encodeSnapshot(authority)),
      });
      return;
    }
    channel.send(hostId, {
      kind: 'log_entries',
      entries: entries.slice(0, this.maximumEntries),
    });
  }

  private get maximumEntries(): number {
    return this.options.maximumEntries ?? DEFAULT_MAXIMUM_ENTRIES;
  }

  private apply(hostId: string, entries: readonly LogEntry[]): void {
    const last = entries.at(-1);
    if (last === undefined) return;
    const known = this.peerVersions.get(hostId) ?? 0;
    this.peerVersions.set(hostId, Math.max(known, last.version));
    this.applyFromPeer(() => this.options.changeLog.applyEntries(entries));
    // A full message means that the peer may have more entries, and a gap means
    // that an earlier message was lost.
    const hasGap = last.version > this.options.changeLog.authority.version;
    const isFull = entries.length >= this.maximumEntries;
    if (isFull) this.requestFrom(hostId, last.version + 1);
    else if (hasGap) this.requestFrom(hostId, last.version);
  }

  private installSnapshot(content: Uint8Array): void {
    const decoded = decodeSnapshot(content);
    if (!decoded.ok) {
      this.options.logger.event('snapshotRejected', {...decoded.error});
      return;
    }
    this.applyFromPeer(() =>
      this.options.changeLog.installSnapshot(decoded.value),
    );
  }

  private applyFromPeer(action: () => void): void {
    this.applyingFromPeer = true;
    try {
      action();
    } finally {
      this.applyingFromPeer = false;
    }
  }

  private push(entry: LogEntry | undefined): void {
    if (entry === undefined || this.applyingFromPeer) return;
    const {channel} = this.options;
    for (const {hostId} of channel.connectedPeers()) {
      const known = this.peerVersions.get(hostId);
      // A peer that is further behind requests all entries after its version.
      if (known !== undefined && known !== entry.version - 1) continue;
      const message: PeerMessage = {kind: 'log_entries', entries: [entry]};
      if (channel.send(hostId, message)) {
        this.peerVersions.set(hostId, entry.version);
      }
    }
    for (const listener of this.listeners) listener();
  }
}
