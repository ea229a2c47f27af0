import type {ChangeLog, Lease, Revised} from '../contracts/mod.ts';
import {
  type ConfirmedView,
  type EffectTracker,
  type HeartbeatExchange,
  rendezvousOrder,
  type StoppedMemberDetector,
} from '../membership/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {PeerChannel} from '../peers/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import {LeaseChangeSubmitter} from './_lease_change_submitter.ts';
import {HolderFailureDetector} from './holder_failure_detector.ts';
import type {LeaseAuthority} from './lease_authority.ts';

/** Options of {@link LeaseManager}. */
export interface LeaseManagerOptions {
  channel: PeerChannel;
  changeLog: ChangeLog;
  view: ConfirmedView;
  effect: EffectTracker;
  heartbeats: HeartbeatExchange;
  stoppedMembers: StoppedMemberDetector;
  clock: Clock;
  logger: EventLogger;
  /** Milliseconds between two checks of all scopes. @default 250 */
  intervalMilliseconds?: number;
  /**
   * Additional milliseconds that each following host in the rendezvous order
   * waits before it acquires a free lease. @default 2000
   */
  fallbackMilliseconds?: number;
  /**
   * Milliseconds without submissions after the table was unavailable.
   * @default 1000
   */
  tableBackoffMilliseconds?: number;
  /** Maximum number of concurrent submissions of lease changes. @default 4 */
  maximumSubmissions?: number;
}

const DEFAULT_INTERVAL_MILLISECONDS = 250;
const DEFAULT_FALLBACK_MILLISECONDS = 2000;
const DEFAULT_TABLE_BACKOFF_MILLISECONDS = 1000;
const DEFAULT_MAXIMUM_SUBMISSIONS = 4;

/**
 * Maximum time during which the proof that the lease change of a takeover is in
 * effect is expedited by additional heartbeats.
 */
const EFFECT_TIMEOUT_MILLISECONDS = 10_000;

/**
 * Acquires, holds, takes over and releases the leases of the scopes for which
 * this host is a candidate. A free lease is acquired by the live member that is
 * first in the rendezvous order of the scope. Each following member waits for
 * an additional delay, in case the earlier ones cannot reach the table.
 */
export class LeaseManager implements LeaseAuthority {
  private readonly scopes = new Set<string>();
  private readonly freeSince = new Map<string, number>();
  private readonly takeovers = new Map<string, Takeover>();
  /** Epochs in which this host has stopped acting, by scope. */
  private readonly stoppedEpochs = new Map<string, number>();
  private readonly reportedEpochs = new Map<string, number>();
  private readonly listeners = new Set<
    (scope: string, epoch: number | undefined) => void
  >();
  private readonly stopping = new AbortController();
  private readonly failureDetector: HolderFailureDetector;
  private readonly submitter: LeaseChangeSubmitter;
  private removeListeners: (() => void)[] = [];
  private draining = false;

  constructor(private readonly options: LeaseManagerOptions) {
    this.failureDetector = new HolderFailureDetector(options);
    this.submitter = new LeaseChangeSubmitter({
      self: options.channel.self,
      changeLog: options.changeLog,
      clock: options.clock,
      logger: options.logger,
      backoffMilliseconds:
        options.tableBackoffMilliseconds ?? DEFAULT_TABLE_BACKOFF_MILLISECONDS,
      maximumConcurrent:
        options.maximumSubmissions ?? DEFAULT_MAXIMUM_SUBMISSIONS,
      onSettled: () => this.reconcile(),
    });
  }

  /** Starts to manage the leases. */
  start(): void {
    const {changeLog, view, effect} = this.options;
    this.removeListeners = [
      changeLog.subscribe((_authority, entry) => {
        if (entry === undefined || isLeaseChange(entry.change.kind)) {
          this.reconcile();
        }
      }),
      view.onChange(() => this.reconcile()),
      effect.onProgress(() => this.reconcile()),
    ];
    void this.reconcileRepeatedly();
  }

  /**
   * Stops managing leases. Held leases remain assigned to this process; use
   * {@link releaseAll} to release them first.
   */
  stop(): void {
    this.stopping.abort();
    for (const remove of this.removeListeners) remove();
  }

  /** Makes this host a candidate for a scope. */
  addScope(scope: string): void {
    this.scopes.add(scope);
  }

  /** Ends the candidacy for a scope and releases its lease if it is held. */
  removeScope(scope: string): void {
    this.scopes.delete(scope);
    this.freeSince.delete(scope);
  }

  /**
   * Stops acting for all scopes and releases their leases. The host acquires no
   * leases afterwards.
   *
   * @param timeLimitMilliseconds Maximum time to wait for the releases.
   * @returns Whether all releases were committed.
   */
  async releaseAll(timeLimitMilliseconds: number): Promise<boolean> {
    const {clock} = this.options;
    const deadlineAt = clock.monotonicMilliseconds() + timeLimitMilliseconds;
    this.draining = true;
    this.reconcile();
    // A grant that was submitted earlier may still be committed.
    while (this.heldLeases().length > 0 || !this.submitter.isIdle) {
      const remaining = deadlineAt - clock.monotonicMilliseconds();
      if (remaining <= 0 || this.stopping.signal.aborted) return false;
      await sleep(clock, Math.min(remaining, RELEASE_POLL_MILLISECONDS));
    }
    return true;
  }

  actingEpoch(scope: string): number | undefined {
    const {changeLog, view, clock} = this.options;
    const lease = changeLog.authority.leases.get(scope);
    if (lease === undefined || !this.isOwn(lease)) return undefined;
    if (this.stoppedEpochs.get(scope) === lease.epoch) return undefined;
    if (!view.isConfirmed()) return undefined;
    if (lease.afterRelease) return lease.epoch;
    const takeover = this.takeovers.get(scope);
    if (takeover?.epoch !== lease.epoch) return undefined;
    const now = clock.monotonicMilliseconds();
    return now >= takeover.actsFrom ? lease.epoch : undefined;
  }

  holderOf(scope: string): string | undefined {
    return this.options.changeLog.authority.leases.get(scope)?.holder?.hostId;
  }

  onChange(
    listener: (scope: string, epoch: number | undefined) => void,
  ): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  private async reconcileRepeatedly(): Promise<void> {
    const {clock} = this.options;
    const {signal} = this.stopping;
    const interval =
      this.options.intervalMilliseconds ?? DEFAULT_INTERVAL_MILLISECONDS;
    while (!signal.aborted) {
      this.reconcile();
      await sleep(clock, interval, signal);
    }
  }

  private reconcile(): void {
    if (this.stopping.signal.aborted) return;
    for (const lease of this.heldLeases()) this.reconcileHeldLease(lease);
    if (!this.draining) this.acquireFreeLeases();
    this.reportChanges();
  }

  private heldLeases(): Revised<Lease>[] {
    const {leases} = this.options.changeLog.authority;
    return [...leases.values()].filter(lease => this.isOwn(lease));
  }

  private isOwn(lease: Lease): boolean {
    const {self} = this.options.channel;
    return (
      lease.holder?.hostId === self.hostId &&
      lease.holder.incarnation === self.incarnation
    );
  }

  private reconcileHeldLease(lease: Revised<Lease>): void {
    const {scope, epoch} = lease;
    this.freeSince.delete(scope);
    const isStopped = this.stoppedEpochs.get(scope) === epoch;
    if (isStopped || this.draining || !this.scopes.has(scope)) {
      // Once the release is submitted, this host must not act any more, even if
      // the outcome of the submission is unknown.
      this.stoppedEpochs.set(scope, epoch);
      this.release(scope, epoch);
      return;
    }
    if (lease.afterRelease) return;
    const {effect, clock, heartbeats} = this.options;
    if (this.takeovers.get(scope)?.epoch === epoch) return;
    if (effect.inEffectVersion() < lease.revision) {
      void effect.waitUntilInEffect(
        lease.revision,
        EFFECT_TIMEOUT_MILLISECONDS,
      );
      return;
    }
    const actsFrom =
      clock.monotonicMilliseconds() + heartbeats.viewTimeoutMilliseconds;
    this.takeovers.set(scope, {epoch, actsFrom});
  }

  private acquireFreeLeases(): void {
    const {changeLog, view, clock, heartbeats, channel} = this.options;
    if (!view.isConfirmed() || !heartbeats.isLive(channel.self.hostId)) return;
    const now = clock.monotonicMilliseconds();
    const {leases} = changeLog.authority;
    const decisions = new Map<string, boolean>();
    let candidates: readonly string[] | undefined;
    for (const scope of this.scopes) {
      const lease = leases.get(scope);
      if (lease !== undefined && this.isOwn(lease)) continue;
      const holder = lease?.holder;
      if (holder !== undefined && holder !== null) {
        const process = `${holder.hostId}/${holder.incarnation}`;
        const mayTakeOver =
          decisions.get(process) ??
          this.failureDetector.mayTakeOverFrom(holder);
        decisions.set(process, mayTakeOver);
        if (!mayTakeOver) {
          this.freeSince.delete(scope);
          continue;
        }
      }
      const since = this.freeSince.get(scope) ?? now;
      this.freeSince.set(scope, since);
      candidates ??= this.liveMembers();
      const rank = rendezvousOrder(scope, candidates).indexOf(
        channel.self.hostId,
      );
      if (rank === -1 || now - since < rank * this.fallbackDelay) continue;
      this.acquire(scope, lease?.epoch ?? 0);
    }
  }

  private get fallbackDelay(): number {
    return this.options.fallbackMilliseconds ?? DEFAULT_FALLBACK_MILLISECONDS;
  }

  private liveMembers(): string[] {
    const {changeLog, heartbeats, stoppedMembers} = this.options;
    return [...changeLog.authority.members.keys()].filter(
      hostId =>
        heartbeats.isLive(hostId) && !stoppedMembers.isReportedLeaving(hostId),
    );
  }

  private acquire(scope: string, expectedEpoch: number): void {
    const {hostId, incarnation} = this.options.channel.self;
    const holder = {hostId, incarnation};
    this.submitter.submit(
      scope,
      {kind: 'grant_lease', scope, holder, expectedEpoch},
      () => {
        const epoch = expectedEpoch + 1;
        this.options.logger.event('leaseAcquired', {scope, epoch});
      },
    );
  }

  private release(scope: string, epoch: number): void {
    this.submitter.submit(
      scope,
      {kind: 'release_lease', scope, expectedEpoch: epoch},
      () => this.options.logger.event('leaseReleased', {scope, epoch}),
    );
  }

  private reportChanges(): void {
    const scopes = new Set([
      ...this.reportedEpochs.keys(),
      ...this.heldLeases().map(lease => lease.scope),
    ]);
    for (const scope of scopes) {
      const epoch = this.actingEpoch(scope);
      const previous = this.reportedEpochs.get(scope);
      if (epoch === previous) continue;
      if (epoch === undefined) this.reportedEpochs.delete(scope);
      else this.reportedEpochs.set(scope, epoch);
      const event = epoch === undefined ? 'leaseLost' : 'leaseActive';
      this.options.logger.event(event, {scope, epoch: epoch ?? previous});
      for (const listener of this.listeners) listener(scope, epoch);
    }
  }
}

/** Interval of checks for pending releases, which take a few round trips. */
const RELEASE_POLL_MILLISECONDS = 50;

interface Takeover {
  readonly epoch: number;
  /** Monotonic time from which this host may act. */
  readonly actsFrom: number;
}

function isLeaseChange(kind: string): boolean {
  return kind === 'grant_lease' || kind === 'release_lease';
}
