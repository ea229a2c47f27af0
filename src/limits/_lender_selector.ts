import type {Authority, Contract} from '../contracts/mod.ts';
import type {LeaseAuthority} from '../leases/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {PeerChannel, PeerMessageOf} from '../peers/mod.ts';
import type {OwnerLivenessTracker} from './_owner_liveness_tracker.ts';
import {TeamLender} from './_team_lender.ts';

/** Options of {@link LenderSelector}. */
export interface LenderSelectorOptions {
  team: string;
  logger: EventLogger;
  channel: PeerChannel;
  leases: LeaseAuthority;
  authority: () => Authority;
  ownerLiveness: OwnerLivenessTracker;
  viewTimeoutMilliseconds: number;
  isMemberListInEffect: () => boolean;
}

// Fraction of the view timeout over which connections must be refused
// repeatedly before they prove that the owner's process has terminated.
const REFUSAL_CONFIRMATION_FRACTION = 0.3;

/**
 * Message id of a `loan_return` that acknowledges a new epoch: its sender no
 * longer spends any loan of an earlier epoch.
 */
export const EPOCH_SEEN_ID = 'epoch-seen';

/**
 * Selects the bucket from which this host may lend a team's tokens. The owner
 * of the team's lease uses a bucket with the full rate and burst. If the
 * owner's process has terminated and its lease cannot be reassigned because
 * the table is unavailable, each host uses a bucket with an equal share of the
 * rate and burst.
 *
 * A share bucket starts empty, one view timeout T after the termination became
 * known, because by then every loan of the former owner has expired. It
 * belongs to the epoch of that owner. A new owner starts to act only T after
 * its epoch is in effect. By then every other host either knows the new epoch
 * or has no confirmed view, so no host spends from a share while the new
 * owner's bucket is in use.
 */
export class LenderSelector {
  private ownerLender: TeamLender | undefined;
  private shareLender: TeamLender | undefined;
  private leaseKey = '';
  private leaseSeenAt = 0;
  private memberVersion = -1;
  private memberVersionSeenAt = 0;
  private contractMissing = false;
  /** Hosts that have acknowledged the epoch and spend no older loans. */
  private reports = {epoch: 0, hosts: new Set<string>()};
  private waitsForHosts = false;

  constructor(private readonly options: LenderSelectorOptions) {}

  /**
   * Returns the lender that may act now, or undefined if this host must not
   * lend. Call it immediately before each action.
   */
  select(contract: Contract | undefined, at: number): TeamLender | undefined {
    this.observeAuthority(at);
    if (contract === undefined) {
      this.ownerLender = undefined;
      this.shareLender = undefined;
      this.contractMissing = true;
      return undefined;
    }
    const epoch = this.options.leases.actingEpoch(this.scope);
    const lender =
      epoch === undefined
        ? this.selectShareLender(contract, at)
        : this.selectOwnerLender(contract, epoch, at);
    this.contractMissing = false;
    lender?.bucket.advance(at);
    return lender;
  }

  /** Records that a host knows an epoch and spends no older loans. */
  recordEpochSeen(hostId: string, epoch: number): void {
    if (epoch > this.reports.epoch) this.reports = {epoch, hosts: new Set()};
    if (epoch === this.reports.epoch) this.reports.hosts.add(hostId);
  }

  /**
   * Returns the lender of an epoch, which accepts returned loans even if it
   * must not lend at present.
   */
  findLender(epoch: number): TeamLender | undefined {
    if (this.ownerLender?.epoch === epoch) return this.ownerLender;
    return this.shareLender?.epoch === epoch ? this.shareLender : undefined;
  }

  /**
   * Whether the owner's process has terminated, so that share buckets are in
   * use or will be soon.
   */
  isOwnerTerminated(at: number): boolean {
    this.observeAuthority(at);
    return this.ownerTerminatedSince() !== undefined;
  }

  private get scope(): string {
    return `team:${this.options.team}`;
  }

  private selectOwnerLender(
    contract: Contract,
    epoch: number,
    at: number,
  ): TeamLender {
    this.shareLender = undefined;
    if (this.ownerLender?.epoch !== epoch) {
      this.ownerLender = this.createLender(
        contract,
        epoch,
        this.ownerStartsAt(epoch, at),
      );
    }
    if (this.waitsForHosts && this.haveAllHostsSeen(epoch)) {
      this.waitsForHosts = false;
      this.ownerLender.bucket.startNoLaterThan(at);
    }
    applyTerms(this.ownerLender, contract, 1, at);
    return this.ownerLender;
  }

  private ownerStartsAt(epoch: number, at: number): number {
    const lease = this.options.authority().leases.get(this.scope);
    const {viewTimeoutMilliseconds} = this.options;
    // Loans of earlier epochs may still be spent for T when the lease was
    // released, because the new owner acts immediately, and when the contract
    // had ended, because the bucket was discarded. In any other takeover the
    // new owner has already waited for T.
    const afterRelease = (lease?.afterRelease ?? false) && epoch > 1;
    this.waitsForHosts = afterRelease && !this.contractMissing;
    return afterRelease || this.contractMissing
      ? at + viewTimeoutMilliseconds
      : at;
  }

  /** Whether every other host has acknowledged the epoch. */
  private haveAllHostsSeen(epoch: number): boolean {
    if (this.reports.epoch !== epoch) return false;
    const {members, previousMembers} = this.options.authority();
    for (const hostId of [...members.keys(), ...previousMembers]) {
      if (hostId === this.options.channel.self.hostId) continue;
      if (!this.reports.hosts.has(hostId)) return false;
    }
    return true;
  }

  private selectShareLender(
    contract: Contract,
    at: number,
  ): TeamLender | undefined {
    const {authority, channel, viewTimeoutMilliseconds} = this.options;
    const terminatedSince = this.ownerTerminatedSince();
    if (terminatedSince === undefined) {
      this.shareLender = undefined;
      return undefined;
    }
    const {members, previousMembers, leases} = authority();
    const {hostId} = channel.self;
    if (!members.has(hostId)) return undefined;
    // A host that does not know the latest member yet divides by one host
    // fewer, so the latest member gets no share until the change of the member
    // list is in effect.
    const isInEffect = this.options.isMemberListInEffect();
    if (!isInEffect && !previousMembers.has(hostId)) return undefined;
    const startsAt =
      Math.max(terminatedSince, this.memberVersionSeenAt) +
      viewTimeoutMilliseconds;
    if (at < startsAt) return undefined;
    const fraction = 1 / new Set([...members.keys(), ...previousMembers]).size;
    const epoch = leases.get(this.scope)?.epoch ?? 0;
    if (this.shareLender?.epoch !== epoch) {
      const from = this.contractMissing ? at + viewTimeoutMilliseconds : at;
      this.shareLender = this.createLender(
        scaledTerms(contract, fraction),
        epoch,
        from,
      );
      const {team, logger} = this.options;
      logger.event('teamShareStarted', {team, epoch, fraction});
    }
    applyTerms(this.shareLender, contract, fraction, at);
    return this.shareLender;
  }

  private ownerTerminatedSince(): number | undefined {
    const lease = this.options.authority().leases.get(this.scope);
    // Without a holder, the next owner may act immediately, before all hosts
    // know of it, so using shares would exceed the rate.
    if (lease === undefined || lease.holder === null) return undefined;
    const {channel, ownerLiveness, viewTimeoutMilliseconds} = this.options;
    const {hostId, incarnation} = channel.self;
    if (lease.holder.hostId === hostId) {
      // This process runs, so the host's earlier process has terminated.
      return lease.holder.incarnation === incarnation
        ? undefined
        : this.leaseSeenAt;
    }
    return ownerLiveness.terminatedSince(
      lease.holder,
      this.leaseSeenAt,
      viewTimeoutMilliseconds * REFUSAL_CONFIRMATION_FRACTION,
    );
  }

  private observeAuthority(at: number): void {
    const {leases, memberVersion} = this.options.authority();
    const lease = leases.get(this.scope);
    const key = `${lease?.epoch}/${lease?.holder?.hostId}/${lease?.holder?.incarnation}`;
    if (key !== this.leaseKey) {
      this.leaseKey = key;
      this.leaseSeenAt = at;
      this.reportEpochSeen();
    }
    if (memberVersion !== this.memberVersion) {
      this.memberVersion = memberVersion;
      this.memberVersionSeenAt = at;
    }
  }

  /**
   * Tells a new owner that this host spends no loans of earlier epochs. This
   * holds because the epoch known to a host never decreases and loans of other
   * epochs are not spent. An owner that acquired the lease after a release
   * starts to lend once all hosts have reported this, rather than after T.
   */
  private reportEpochSeen(): void {
    const {authority, channel, team} = this.options;
    const lease = authority().leases.get(this.scope);
    if (lease === undefined || lease.holder === null || !lease.afterRelease) {
      return;
    }
    if (lease.holder.hostId === channel.self.hostId) return;
    channel.send(lease.holder.hostId, {
      kind: 'loan_return',
      id: EPOCH_SEEN_ID,
      team,
      epoch: lease.epoch,
      tokens: 0,
    });
  }

  private createLender(
    terms: Pick<Contract, 'tokensPerSecond' | 'burstTokens'>,
    epoch: number,
    startsAt: number,
  ): TeamLender {
    const {team, channel, viewTimeoutMilliseconds} = this.options;
    return new TeamLender({
      team,
      epoch,
      terms,
      startsAt,
      viewTimeoutMilliseconds,
      send: (hostId: string, grant: PeerMessageOf<'loan_grant'>) =>
        channel.send(hostId, grant),
    });
  }
}

function scaledTerms(contract: Contract, fraction: number) {
  return {
    tokensPerSecond: contract.tokensPerSecond * fraction,
    burstTokens: contract.burstTokens * fraction,
  };
}

function applyTerms(
  lender: TeamLender,
  contract: Contract,
  fraction: number,
  at: number,
): void {
  const newTerms = scaledTerms(contract, fraction);
  const {tokensPerSecond, burstTokens} = lender.bucket.terms;
  if (
    tokensPerSecond !== newTerms.tokensPerSecond ||
    burstTokens !== newTerms.burstTokens
  ) {
    lender.bucket.reconfigure(newTerms, at);
  }
}
