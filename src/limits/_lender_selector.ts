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

// Share of the view timeout over which refused connections must repeat before
// they count as proof that the owner's process is gone.
const REFUSAL_CONFIRMATION_FRACTION = 0.3;

/** Id of a return that stands for all loans of earlier epochs. */
export const EPOCH_SEEN_ID = 'epoch-seen';

/**
 * Finds the bucket from which this host may lend a team's tokens: the whole
 * one as the team's owner, or, while the owner's process is gone and its lease
 * cannot move (table outage), this host's even share of rate and burst.
 *
 * A share starts empty T after the evidence, when every loan of the former
 * owner has ended, and belongs to the epoch of that owner. A new owner acts
 * only T after its epoch is in effect; by then each host has heard of it, or
 * its view is not confirmed, so that no share is spent beside the new bucket.
 */
export class LenderSelector {
  private ownerLender: TeamLender | undefined;
  private shareLender: TeamLender | undefined;
  private leaseKey = '';
  private leaseSeenAt = 0;
  private memberVersion = -1;
  private memberVersionSeenAt = 0;
  private contractMissing = false;
  /** Hosts that spend no loan of an epoch before this one. */
  private reports = {epoch: 0, hosts: new Set<string>()};
  private waitsForHosts = false;

  constructor(private readonly options: LenderSelectorOptions) {}

  /** Lender that may act now; call it immediately before each action. */
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

  /** Notes that a host has heard of an epoch and spends no older loans. */
  recordEpochSeen(hostId: string, epoch: number): void {
    if (epoch > this.reports.epoch) this.reports = {epoch, hosts: new Set()};
    if (epoch === this.reports.epoch) this.reports.hosts.add(hostId);
  }

  /** Lender of an epoch, whether or not it may act now; takes returns. */
  findLender(epoch: number): TeamLender | undefined {
    if (this.ownerLender?.epoch === epoch) return this.ownerLender;
    return this.shareLender?.epoch === epoch ? this.shareLender : undefined;
  }

  /** Whether the owner's process is gone and shares are in use or about to be. */
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
    // After a release the new owner acts at once, and after the end of a
    // contract the bucket is forgotten; loans from before may still be spent
    // for T. Any other take-over has waited for T already.
    const afterRelease = (lease?.afterRelease ?? false) && epoch > 1;
    this.waitsForHosts = afterRelease && !this.contractMissing;
    return afterRelease || this.contractMissing
      ? at + viewTimeoutMilliseconds
      : at;
  }

  /** Whether no host can spend loans of an earlier epoch any more. */
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
    // A host that has not heard of the latest member counts one host fewer,
    // so the latest member has no share until its change is in effect.
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
    // Without a holder a new owner may act at once, before all hosts have
    // heard of it, so shares would not be safe.
    if (lease === undefined || lease.holder === null) return undefined;
    const {channel, ownerLiveness, viewTimeoutMilliseconds} = this.options;
    const {hostId, incarnation} = channel.self;
    if (lease.holder.hostId === hostId) {
      // A restarted host proves by itself that its former process is gone.
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
   * Tells a new owner that this host spends no loans of earlier epochs: the
   * authority never goes back, and loans of other epochs are not spent. An
   * owner that took over after a release starts to lend once all hosts have
   * said so, instead of after T.
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
