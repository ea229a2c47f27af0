import type {Metrics} from '../observability/mod.ts';

/** Counter of the bytes sent to other hosts, by kind of message. */
const SENT_BYTES_METRIC = 'limpetdale_peer_sent_bytes_total';

/** Counts the bytes sent to other hosts. */
export class PeerTraffic {
  private sent = new Map<string, number>();

  constructor(private readonly metrics: Metrics) {}

  /** Adds a message. */
  add(kind: string, bytes: number): void {
    this.metrics.increment(SENT_BYTES_METRIC, {kind}, bytes);
    this.sent.set(kind, (this.sent.get(kind) ?? 0) + bytes);
  }

  /** Returns the bytes by kind since the last call. */
  takeSent(): Readonly<Record<string, number>> {
    const {sent} = this;
    this.sent = new Map();
    return Object.fromEntries(sent);
  }
}
