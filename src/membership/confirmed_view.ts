import type {ChangeLog} from '../contracts/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {CancelTimer, Clock} from '../time/mod.ts';
import {sleep} from '../time/mod.ts';
import {
  type EffectTracker,
  startupDelayMilliseconds,
} from './effect_tracker.ts';
import type {HeartbeatExchange} from './heartbeat_exchange.ts';
import {memberLists, nthLargest, readQuorum} from './member_quorum.ts';
import type {ViewStatus} from './view_status.ts';

/** Options of {@link ConfirmedView}. */
export interface ConfirmedViewOptions {
  /** Host id of this process. */
  hostId: string;
  /** Peer address that this process announces in its greeting. */
  peerAddress: string;
  heartbeats: HeartbeatExchange;
  effect: EffectTracker;
  changeLog: ChangeLog;
  clock: Clock;
  logger: EventLogger;
  /** Milliseconds between two reads of the head row. @default 1000 */
  tableIntervalMilliseconds?: number;
  /**
   * Maximum milliseconds to wait for a read before the next one. @default 1000
   */
  tableRetryMilliseconds?: number;
}

const DEFAULT_TABLE_INTERVAL_MILLISECONDS = 1000;
const DEFAULT_TABLE_RETRY_MILLISECONDS = 1000;

/** Maximum number of reads of the head row in flight. */
const MAXIMUM_OPEN_READS = 4;

/**
 * Tells whether this host may act on its copy of the authority.
 *
 * The view is confirmed when the table, or a read quorum of members, reports no
 * later version than this host has; no later change was then in effect at the
 * time of the request. The confirmation lasts for the view timeout, counted
 * from the time at which the request was sent.
 */
export class ConfirmedView implements ViewStatus {
  /** Monotonic time until which the view is confirmed. */
  private until = -Infinity;
  private lastAnnounced = false;
  private openReads = 0;
  private lastTableReadAt = -Infinity;
  private cancelExpiry: CancelTimer = () => undefined;
  private removeListeners: (() => void)[] = [];
  private readonly stopping = new AbortController();
  private readonly waiters = new Set<() => void>();
  private readonly listeners = new Set<(confirmed: boolean) => void>();

  constructor(private readonly options: ConfirmedViewOptions) {}

  /** Starts to read the table and to evaluate the replies of peers. */
  start(): void {
    const {heartbeats, changeLog, effect} = this.options;
    this.removeListeners = [
      heartbeats.onReply(() => this.evaluatePeerReplies()),
      changeLog.subscribe(() => this.evaluatePeerReplies()),
      effect.onProgress(() => this.evaluatePeerReplies()),
    ];
    void this.readTablePeriodically();
  }

  /** Stops; the current confirmation is not extended and expires. */
  stop(): void {
    this.stopping.abort();
    this.cancelExpiry();
    for (const remove of this.removeListeners) remove();
    for (const waiter of [...this.waiters]) waiter();
  }

  confirmedUntil(): number {
    return this.until;
  }

  isConfirmed(): boolean {
    return this.options.clock.monotonicMilliseconds() < this.until;
  }

  async waitUntilConfirmed(signal?: AbortSignal): Promise<void> {
    if (this.isConfirmed() || signal?.aborted) return;
    await new Promise<void>(resolve => {
      const finish = () => {
        this.waiters.delete(finish);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      this.waiters.add(finish);
      signal?.addEventListener('abort', finish, {once: true});
    });
  }

  /**
   * Registers a listener for the view becoming confirmed or expiring; returns a
   * function that removes it.
   */
  onChange(listener: (confirmed: boolean) => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  private async readTablePeriodically(): Promise<void> {
    const {clock} = this.options;
    const {signal} = this.stopping;
    const interval =
      this.options.tableIntervalMilliseconds ??
      DEFAULT_TABLE_INTERVAL_MILLISECONDS;
    const retryInterval =
      this.options.tableRetryMilliseconds ?? DEFAULT_TABLE_RETRY_MILLISECONDS;
    while (!signal.aborted) {
      if (this.openReads < MAXIMUM_OPEN_READS) {
        const answered = new AbortController();
        void this.readTable().finally(() => answered.abort());
        await sleep(clock, retryInterval, answered.signal);
        this.updateHeartbeatRate(clock.monotonicMilliseconds());
      }
      await sleep(clock, interval, signal);
      // A host that is a read quorum by itself gets no replies from peers that
      // would trigger the evaluation.
      this.evaluatePeerReplies();
    }
  }

  /**
   * Halves the heartbeat rate while reads of the table succeed. When they start
   * to fail, restores the rate and sends heartbeats immediately.
   */
  private updateHeartbeatRate(now: number): void {
    const {heartbeats} = this.options;
    const {reducedRate: wasReduced, viewTimeoutMilliseconds} = heartbeats;
    heartbeats.reducedRate =
      now - this.lastTableReadAt < viewTimeoutMilliseconds / 3;
    if (wasReduced && !heartbeats.reducedRate) heartbeats.sendToAll();
  }

  private async readTable(): Promise<void> {
    const {clock, changeLog, logger} = this.options;
    const askedAt = clock.monotonicMilliseconds();
    this.openReads++;
    try {
      const head = await changeLog.refresh();
      if (head.ok && changeLog.authority.version >= head.value) {
        this.lastTableReadAt = Math.max(this.lastTableReadAt, askedAt);
        this.extend(askedAt);
      }
    } catch (error) {
      const reason = String(error);
      logger.event('unexpectedFailure', {step: 'read_head', reason});
    } finally {
      this.openReads--;
    }
  }

  private evaluatePeerReplies(): void {
    this.extend(this.peerEvidenceTime());
  }

  /**
   * Time of the oldest request whose reply is needed for a read quorum of every
   * member list; negative infinity without a quorum.
   */
  private peerEvidenceTime(): number {
    const {changeLog, effect} = this.options;
    const lists = memberLists(changeLog.authority, effect.inEffectVersion());
    return Math.min(...lists.map(list => this.evidenceOf(list)));
  }

  private evidenceOf(list: readonly string[]): number {
    if (list.length === 0) return -Infinity;
    const {hostId, heartbeats, changeLog} = this.options;
    const {version} = changeLog.authority;
    const earliest = heartbeats.hasBeenConfirmed
      ? -Infinity
      : heartbeats.startedAt + startupDelayMilliseconds(heartbeats);
    const requestTimes: number[] = [];
    for (const member of list) {
      if (member === hostId) {
        if (heartbeats.hasBeenConfirmed && this.isRecorded)
          requestTimes.push(Infinity);
        continue;
      }
      const reply = heartbeats.latestReply(member);
      if (reply === undefined || !reply.remembers) continue;
      if (reply.version > version || reply.askedAt < earliest) continue;
      requestTimes.push(reply.askedAt);
    }
    const askedAt = nthLargest(requestTimes, readQuorum(list.length));
    // A host that is a read quorum by itself needs no replies, so its evidence
    // is always current.
    if (askedAt === Infinity) return this.options.clock.monotonicMilliseconds();
    return askedAt;
  }

  /** Whether the member list records this process's address for this host. */
  private get isRecorded(): boolean {
    const {hostId, peerAddress, heartbeats} = this.options;
    return heartbeats.addressOf(hostId) === peerAddress;
  }

  private extend(askedAt: number): void {
    const until = askedAt + this.options.heartbeats.viewTimeoutMilliseconds;
    if (until <= this.until) return;
    this.until = until;
    if (!this.isConfirmed()) return;
    this.options.heartbeats.hasBeenConfirmed = true;
    this.announce(true);
    for (const waiter of [...this.waiters]) waiter();
    this.cancelExpiry();
    this.watchExpiry();
  }

  private watchExpiry(): void {
    const {clock} = this.options;
    this.cancelExpiry = clock.startTimer(
      this.until - clock.monotonicMilliseconds(),
      () => {
        if (this.isConfirmed()) this.watchExpiry();
        else this.announce(false);
      },
    );
  }

  private announce(confirmed: boolean): void {
    if (this.lastAnnounced === confirmed) return;
    this.lastAnnounced = confirmed;
    const {logger, changeLog} = this.options;
    logger.event(confirmed ? 'viewConfirmed' : 'viewUnconfirmed', {
      version: changeLog.authority.version,
    });
    for (const listener of this.listeners) listener(confirmed);
  }
}
