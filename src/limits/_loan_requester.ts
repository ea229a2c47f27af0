import type {Authority} from '../contracts/mod.ts';
import type {LeaseAuthority} from '../leases/mod.ts';
import type {PeerChannel} from '../peers/mod.ts';
import {DemandMeter} from './_demand_meter.ts';
import type {LenderSelector} from './_lender_selector.ts';
import type {TeamBorrower} from './_team_borrower.ts';
import type {TeamLender} from './_team_lender.ts';
import type {TokenWaiterQueue} from './_token_waiter.ts';

/** Options of {@link LoanRequester}. */
export interface LoanRequesterOptions {
  team: string;
  channel: PeerChannel;
  leases: LeaseAuthority;
  authority: () => Authority;
  lenderSelector: LenderSelector;
  borrower: TeamBorrower;
}

// A loan covers the demand expected within this time. It spans several round
// trips, so that most requests find tokens available, and is short enough that
// few tokens remain unused on idle hosts.
const DEMAND_HORIZON_MILLISECONDS = 250;
// Requests more than is needed from each host, because some share buckets hold
// less than others.
const SHARE_REQUEST_FACTOR = 2;
// An unused loan is returned after this time, slightly longer than the demand
// horizon for which it was requested.
const IDLE_LOAN_MILLISECONDS = 300;

interface WantedTokens {
  readonly tokens: number;
  readonly minimumTokens: number;
  readonly waitedMilliseconds: number;
}

/**
 * Decides from which hosts to borrow and how many tokens, based on the waiting
 * requests and the recent demand.
 */
export class LoanRequester {
  private readonly demand = new DemandMeter();

  constructor(private readonly options: LoanRequesterOptions) {}

  /** Adds the tokens that a request asks for to the measured demand. */
  recordDemand(tokens: number, at: number): void {
    this.demand.add(tokens, at);
  }

  /** Returns idle loans and requests the tokens that the queue lacks. */
  update(
    queue: TokenWaiterQueue,
    lender: TeamLender | undefined,
    at: number,
  ): void {
    const {borrower, lenderSelector, leases, channel, authority, team} =
      this.options;
    const scope = `team:${team}`;
    const epoch = authority().leases.get(scope)?.epoch ?? 0;
    const {first} = queue;
    borrower.closeLoans(
      epoch,
      at,
      loan =>
        first !== undefined || at - loan.acceptedAt < IDLE_LOAN_MILLISECONDS,
    );
    if (first === undefined) {
      borrower.cancelAll();
      return;
    }
    const borrowed = borrower.available(epoch, at);
    const expectedDemand =
      this.demand.perSecond(at) * (DEMAND_HORIZON_MILLISECONDS / 1000);
    const missing = Math.max(0, first.tokens - borrowed);
    const wanted: WantedTokens = {
      minimumTokens: missing,
      tokens: Math.max(missing, queue.totalTokens + expectedDemand - borrowed),
      waitedMilliseconds: Math.max(0, at - first.arrivedAt),
    };
    if (lenderSelector.isOwnerTerminated(at)) {
      this.requestFromShares(lender, epoch, wanted, at);
      return;
    }
    const owner = leases.holderOf(scope);
    if (owner === undefined || owner === channel.self.hostId) return;
    borrower.requestLoan(owner, epoch, at, wanted);
  }

  private requestFromShares(
    lender: TeamLender | undefined,
    epoch: number,
    wanted: WantedTokens,
    at: number,
  ): void {
    const {channel, authority, borrower} = this.options;
    const {members} = authority();
    const peers = channel
      .connectedPeers()
      .filter(({hostId}) => members.has(hostId));
    if (peers.length === 0) return;
    const ownTokens = lender?.bucket.level ?? 0;
    const tokensPerPeer =
      (SHARE_REQUEST_FACTOR * (wanted.tokens - ownTokens)) / peers.length;
    const tokens = Math.max(1, tokensPerPeer);
    for (const {hostId} of peers) {
      // Without a minimum, each share lends what it has; the loans are combined
      // on this host.
      borrower.requestLoan(hostId, epoch, at, {
        ...wanted,
        tokens,
        minimumTokens: 0,
      });
    }
  }
}
