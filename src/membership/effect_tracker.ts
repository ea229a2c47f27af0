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
 * Determines from heartbeats which version of the log is in effect. A version
 * is in effect once a write quorum of the members has applied it or a later
 * one; while a change of the member list is not in effect, a write quorum of
 * both the current and the previous list is needed.
 *
 * Evaluation runs in rounds. A member counts towards a round with the version
 * it reported before the start of the round, once the same incarnation replies
 * to a heartbeat sent after the start. Versions never decrease within an
 * incarnation, so the member had at least that version when the round started.
 *
 * A member whose process has stopped also counts, although it may be restarted
 * after it was observed as stopped. If the table confirms the view of the new
 * process, the process has at least the version that this host had at the
 * observation, so the member counts with that version.
 * {@link startupDelayMilliseconds} prevents the new process from confirming its
 * view with replies to heartbeats sent before the start of the round.
 */
export class EffectTracker {
  private provenVersion = 0;
  private rounds: Round[] = [];
  private readonly listeners = new Set<(version: number) => void>();
  private readonly stopping = new AbortController();
  private removeListeners: (() => void)[] = [];
  /** Number of pending waits. */
  private waiting = 0;

  constructor(private readonly options: EffectTrackerOptions) {}

  /** Starts to evaluate the replies to heartbeats. */
  start(): void {
    this.removeListeners = [
      this.options.heartbeats.onReply(reply => this.receive(reply)),
    ];
    void this.evaluatePeriodically();
  }

  /** Stops the evaluation; pending waits resolve to false. */
  stop(): void {
    this.stopping.abort();
    for (const remove of this.removeListeners) remove();
  }

  /** The latest version known to be in effect. */
  inEffectVersion(): number {
    return this.provenVersion;
  }

  /**
   * Registers a listener that is called with each later version that is in
   * effect; returns a function that removes it.
   */
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
   * @param timeLimitMilliseconds Maximum time to wait.
   * @returns Whether the version is known to be in effect.
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
        // A heartbeat counts for the round only if it is sent strictly after
        // the start of the round.
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
    // With no pending wait, the next periodic evaluation is soon enough.
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

/**
 * Milliseconds between the first two heartbeats of a wait; doubles each time.
 */
const FIRST_RETRY_MILLISECONDS = 10;

/** Maximum milliseconds between two heartbeats of a wait. */
const MAXIMUM_RETRY_MILLISECONDS = 500;

/**
 * Maximum number of open rounds; each needs two heartbeat exchanges to
 * complete.
 */
const MAXIMUM_ROUNDS = 8;

/**
 * Milliseconds for which an observation of a stopped member is valid. It is
 * shorter than {@link startupDelayMilliseconds} by more than the clocks of two
 * hosts drift apart in that time.
 */
function stopValidityMilliseconds(heartbeats: HeartbeatExchange): number {
  return heartbeats.viewTimeoutMilliseconds * 0.8;
}

/**
 * Milliseconds after the start of a process during which replies to its
 * heartbeats do not count towards its first confirmed view. Without this delay,
 * a process that starts right after its address refused connections could use
 * replies from before the start of a round that counts the member as stopped.
 */
export function startupDelayMilliseconds(
  heartbeats: HeartbeatExchange,
): number {
  return heartbeats.viewTimeoutMilliseconds;
}

/** One evaluation of which version is in effect. */
interface Round {
  /** Monotonic time. */
  readonly startedAt: number;
  /** This host's copy of the authority at the start of the round. */
  readonly authority: Authority;
  /** Member lists that must each have a write quorum. */
  readonly lists: readonly (readonly string[])[];
  /**
   * Write quorum of the smallest list; with fewer members none has a quorum.
   */
  readonly smallestQuorum: number;
  /** Latest reply of each member before the start of the round. */
  readonly earlierReplies: ReadonlyMap<
    string,
    {readonly incarnation: string; readonly version: number}
  >;
  /** Versions of the members that count towards the round. */
  readonly versions: Map<string, number>;
}

function versionInEffect(round: Round): number {
  const provenVersions = round.lists.map(list => {
    const versions = list.flatMap(hostId => round.versions.get(hostId) ?? []);
    return nthLargest(versions, writeQuorum(list.length));
  });
  return Math.min(round.authority.version, ...provenVersions);
}
