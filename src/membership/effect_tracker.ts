import type {Authority, ChangeLog} from '../contracts/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import type {HeartbeatExchange, HeartbeatReply} from './heartbeat_exchange.ts';
import {memberLists, nthLargest, writeQuorum} from './member_quorum.ts';
import type {StoppedMemberDetector} from './stopped_member_detector.ts';

/** Options of {@link EffectTracker}. */
export interface EffectTrackerOptions {
  /** Host id of this process. */
  hostId: string;
  heartbeats: HeartbeatExchange;
  stoppedMembers: StoppedMemberDetector;
  changeLog: ChangeLog;
  clock: Clock;
  logger: EventLogger;
}

/**
 * Proves which version of the log is in effect, from the heartbeats that are
 * exchanged anyway.
 *
 * Each round has one moment. A member counts with the version that one
 * incarnation of it answered before the moment, once the same incarnation has
 * answered a heartbeat that was sent after the moment: a version never goes
 * back within an incarnation, so the member had at least this version at the
 * moment.
 *
 * A member without a process counts as well, but it may start again after it
 * was seen to be gone. If the new process is confirmed by the table, it has at
 * least the version that this host had when the member was gone, so the member
 * counts with that version. {@link startupDelayMilliseconds} keeps the new process from
 * using answers of peers that were asked before the moment.
 */
export class EffectTracker {
  private provenVersion = 0;
  private rounds: Round[] = [];
  private readonly listeners = new Set<(version: number) => void>();
  private readonly stopping = new AbortController();
  private removeListeners: (() => void)[] = [];
  private waiting = 0;

  constructor(private readonly options: EffectTrackerOptions) {}

  /** Starts to evaluate the answers to heartbeats. */
  start(): void {
    this.removeListeners = [
      this.options.heartbeats.onReply(reply => this.receive(reply)),
    ];
    void this.evaluatePeriodically();
  }

  /** Ends the evaluation; waits in progress end as not in effect. */
  stop(): void {
    this.stopping.abort();
    for (const remove of this.removeListeners) remove();
  }

  /** The latest version that is known to be in effect. */
  inEffectVersion(): number {
    return this.provenVersion;
  }

  /** Calls back when a later version is in effect. */
  onProgress(listener: (version: number) => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /**
   * Waits until a version is in effect.
   *
   * @param version Version of the log.
   * @param timeLimitMilliseconds Longest wait.
   * @returns Whether the version is in effect.
   */
  async waitUntilInEffect(
    version: number,
    timeLimitMilliseconds: number,
  ): Promise<boolean> {
    const {clock} = this.options;
    const deadline = clock.monotonicMilliseconds() + timeLimitMilliseconds;
    let interval = FIRST_RETRY_MILLISECONDS;
    this.waiting++;
    try {
      while (this.provenVersion < version && !this.stopping.signal.aborted) {
        const remaining = deadline - clock.monotonicMilliseconds();
        if (remaining <= 0) break;
        this.addRound();
        // Only heartbeats sent after the moment of the round count for it.
        await sleep(clock, 1);
        this.options.heartbeats.sendToAll();
        await this.waitForProgress(Math.min(remaining, interval));
        interval = Math.min(interval * 2, MAXIMUM_RETRY_MILLISECONDS);
      }
    } finally {
      this.waiting--;
    }
    return this.provenVersion >= version;
  }

  private async waitForProgress(milliseconds: number): Promise<void> {
    const progress = new AbortController();
    const remove = this.onProgress(() => progress.abort());
    await sleep(this.options.clock, milliseconds, progress.signal);
    remove();
  }

  private async evaluatePeriodically(): Promise<void> {
    const {clock, heartbeats} = this.options;
    const {signal} = this.stopping;
    while (!signal.aborted) {
      this.evaluate();
      this.addRound();
      await sleep(clock, heartbeats.intervalMilliseconds, signal);
    }
  }

  private addRound(): void {
    const {clock, heartbeats} = this.options;
    const oldest =
      clock.monotonicMilliseconds() - heartbeats.viewTimeoutMilliseconds;
    this.rounds = this.rounds
      .filter(round => round.startedAt > oldest)
      .slice(1 - MAXIMUM_ROUNDS);
    this.rounds.push(this.startRound());
  }

  private receive(reply: HeartbeatReply): void {
    const {hostId, incarnation} = reply.peer;
    let hasQuorum = false;
    for (const round of this.rounds) {
      const earlier = round.earlierReplies.get(hostId);
      if (earlier?.incarnation !== incarnation) continue;
      if (reply.askedAt <= round.startedAt) continue;
      round.versions.set(hostId, earlier.version);
      hasQuorum ||= round.versions.size >= round.smallestQuorum;
    }
    // Without a waiter the evaluation at each interval is soon enough.
    if (hasQuorum && this.waiting > 0) this.evaluate();
  }

  private evaluate(): void {
    const version = Math.max(...this.rounds.map(versionInEffect), 0);
    if (version > this.provenVersion) this.progress(version);
  }

  private progress(version: number): void {
    this.provenVersion = version;
    this.options.logger.event('changeInEffect', {version});
    for (const listener of this.listeners) listener(version);
  }

  private startRound(): Round {
    const {hostId, changeLog, clock, stoppedMembers, heartbeats} = this.options;
    const {authority} = changeLog;
    const startedAt = clock.monotonicMilliseconds();
    const oldestStop = startedAt - stopValidityMilliseconds(heartbeats);
    const versions = new Map<string, number>();
    const earlierReplies = new Map<
      string,
      {incarnation: string; version: number}
    >();
    const lists = memberLists(authority, this.provenVersion);
    for (const member of new Set(lists.flat())) {
      if (member === hostId) {
        versions.set(member, authority.version);
        continue;
      }
      const stopped = stoppedMembers.lastSeenStopped(member);
      if (stopped !== undefined && stopped.at >= oldestStop) {
        versions.set(member, stopped.version);
        continue;
      }
      const reply = heartbeats.latestReply(member);
      if (reply === undefined) continue;
      earlierReplies.set(member, {
        incarnation: reply.peer.incarnation,
        version: reply.version,
      });
    }
    const smallestQuorum = Math.min(
      ...lists.map(list => writeQuorum(list.length)),
    );
    return {
      startedAt,
      authority,
      lists,
      smallestQuorum,
      earlierReplies,
      versions,
    };
  }
}

/** Milliseconds before the second heartbeat of a wait; doubles. */
const FIRST_RETRY_MILLISECONDS = 10;

const MAXIMUM_RETRY_MILLISECONDS = 500;

/** Rounds that are open at one time; each needs two exchanges to complete. */
const MAXIMUM_ROUNDS = 8;

/**
 * Milliseconds in which a member that was seen to be gone counts as gone. It
 * is below {@link startupDelayMilliseconds} by more than clocks drift apart in that time.
 */
function stopValidityMilliseconds(heartbeats: HeartbeatExchange): number {
  return heartbeats.viewTimeoutMilliseconds * 0.8;
}

/**
 * Milliseconds after the start of a process before which no answer of a peer
 * counts for its first confirmed view. Without the wait, a process that starts
 * right after its address was seen to refuse connections could use answers
 * from before the moment of a proof that counts it as gone.
 */
export function startupDelayMilliseconds(
  heartbeats: HeartbeatExchange,
): number {
  return heartbeats.viewTimeoutMilliseconds;
}

interface Round {
  readonly startedAt: number;
  readonly authority: Authority;
  readonly lists: readonly (readonly string[])[];
  /** Members below which no list can have a quorum. */
  readonly smallestQuorum: number;
  /** What members answered before the moment. */
  readonly earlierReplies: ReadonlyMap<
    string,
    {readonly incarnation: string; readonly version: number}
  >;
  /** Versions of the members that count. */
  readonly versions: Map<string, number>;
}

function versionInEffect(round: Round): number {
  const provenVersions = round.lists.map(list => {
    const versions = list.flatMap(hostId => round.versions.get(hostId) ?? []);
    return nthLargest(versions, writeQuorum(list.length));
  });
  return Math.min(round.authority.version, ...provenVersions);
}
