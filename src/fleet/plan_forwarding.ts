/** A received announcement and what the receiver knows about its peers. */
export interface ForwardingInput {
  /** Whether the receiver is an active host. */
  readonly isActive: boolean;
  /** Number of hosts that have passed the announcement on. */
  readonly hops: number;
  /** Peer from which the announcement came. */
  readonly from: string;
  /** Standby hosts that report to the receiver. */
  readonly standbyHosts: readonly string[];
  /** All connected peers of the receiver. */
  readonly peers: readonly string[];
}

/** Peers to which an announcement is passed on. */
export interface Forwarding {
  readonly to: readonly string[];
  /** Value of `hops` for them. */
  readonly hops: number;
}

/** Hops of an announcement that is not passed on any further. */
export const FINAL_HOPS = 2;

/**
 * Decides to whom a host passes an announcement on. One of an active host goes on
 * to the standby hosts of each other active host; one of a standby host goes to
 * all active hosts first.
 *
 * Hosts disagree on their roles for a moment when these change. The number of hops
 * bounds the copies of an announcement then; without it, two hosts that take each
 * other for a standby host send it back and forth for ever.
 *
 * @returns Undefined if the announcement ends here.
 */
export function planForwarding(input: ForwardingInput): Forwarding | undefined {
  const {isActive, hops, from, standbyHosts, peers} = input;
  if (!isActive || hops >= FINAL_HOPS) return undefined;
  const isFromStandby = hops === 0 && standbyHosts.includes(from);
  const receivers = isFromStandby ? peers : standbyHosts;
  const to = receivers.filter(hostId => hostId !== from);
  if (to.length === 0) return undefined;
  return {to, hops: isFromStandby ? 1 : FINAL_HOPS};
}
