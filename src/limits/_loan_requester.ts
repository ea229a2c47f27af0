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

// Demand for which a borrower asks ahead: some round trips long, so that most
// requests find tokens, and short, so that few tokens lie on idle hosts.
const DEMAND_HORIZON_MILLISECONDS = 250;
// Some of the hosts that are asked for shares have less than the others.
const SHARE_REQUEST_FACTOR = 2;
// An unused loan goes back after this time, a little more than the demand that
// it was meant for.
const IDLE_LOAN_MILLISECONDS = 300;

interface WantedTokens {
  readonly tokens: number;
  readonly minimumTokens: number;
  readonly waitedMilliseconds: number;
}

/** Decides whom to ask for how many tokens, by what waits and by demand. */
export class LoanRequester {
  private readonly demand = new DemandMeter();

  constructor(private readonly options: LoanRequesterOptions) {}

  /** Counts tokens that a request wants. */
  recordDemand(tokens: number, at: number): void {
    this.demand.add(tokens, at);
  }

  /** Gives back idle loans and asks for what the queue lacks. */
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
      // No minimum: a share lends what it has, and the parts add up here.
      borrower.requestLoan(hostId, epoch, at, {
        ...wanted,
        tokens,
        minimumTokens: 0,
      });
    }
  }
}
