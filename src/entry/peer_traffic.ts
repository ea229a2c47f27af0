import type {Metrics} from '../observability/mod.ts';

/** Counter of the bytes sent to other hosts, by kind of message. */
const SENT_BYTES_METRIC = 'limpetdale_peer_sent_bytes_total';

/** Gauge of the bytes that are queued for other hosts. */
const QUEUED_BYTES_METRIC = 'limpetdale_peer_queued_bytes';

/** Counter of the messages that were skipped because too many bytes were queued. */
const SKIPPED_METRIC = 'limpetdale_peer_skipped_messages_total';

/** Traffic to other hosts over a period. */
export interface PeerTrafficSummary {
  /** Bytes by kind of message. */
  readonly sentBytes: Readonly<Record<string, number>>;
  /** Largest number of queued bytes that was observed. */
  readonly largestQueue: number;
  /** Messages that were skipped because too many bytes were queued. */
  readonly skipped: number;
}

/** Counts the bytes sent to other hosts. */
export class PeerTraffic {
  private sent = new Map<string, number>();
  private largestQueue = 0;
  private skipped = 0;

  constructor(private readonly metrics: Metrics) {}

  /** Adds a message. */
  add(kind: string, bytes: number): void {
    this.metrics.increment(SENT_BYTES_METRIC, {kind}, bytes);
    this.sent.set(kind, (this.sent.get(kind) ?? 0) + bytes);
  }

  /** Adds a message that was skipped. */
  addSkipped(kind: string): void {
    this.metrics.increment(SKIPPED_METRIC, {kind});
    this.skipped++;
  }

  /** Records the bytes that are queued for all peers. */
  observeQueue(bytes: number): void {
    this.metrics.setGauge(QUEUED_BYTES_METRIC, bytes);
    this.largestQueue = Math.max(this.largestQueue, bytes);
  }

  /** Returns the traffic since the last call. */
  take(): PeerTrafficSummary {
    const {sent, largestQueue, skipped} = this;
    this.sent = new Map();
    this.largestQueue = 0;
    this.skipped = 0;
    return {sentBytes: Object.fromEntries(sent), largestQueue, skipped};
  }
}
