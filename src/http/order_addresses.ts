import type {Member} from '../contracts/mod.ts';

/** Address of a host for callers. */
export interface HostAddress {
  readonly host: string;
  readonly address: string;
  readonly dataCentre: string;
}

/** Options of {@link orderAddresses}. */
export interface AddressOrderOptions {
  /** Hosts that accept new callers. */
  members: readonly Member[];
  /** Data centre of the caller. */
  dataCentre: string;
  /** Host ids in the order of rendezvous hashing for this caller. */
  rendezvousOrder: readonly string[];
  /** Owner of the team's token bucket; undefined when unknown. */
  ownerHostId: string | undefined;
}

/**
 * Orders addresses for a caller: the owner of its team's rate limit first, then
 * hosts in the caller's data centre, then other hosts. Within each group, hosts
 * are in the order of rendezvous hashing.
 */
export function orderAddresses(options: AddressOrderOptions): HostAddress[] {
  const positionByHost = new Map(
    options.rendezvousOrder.map((hostId, index) => [hostId, index]),
  );
  const precedence = (member: Member) => {
    if (member.hostId === options.ownerHostId) return 0;
    return member.dataCentre === options.dataCentre ? 1 : 2;
  };
  const rendezvousPosition = (member: Member) =>
    positionByHost.get(member.hostId) ?? Number.MAX_SAFE_INTEGER;
  return [...options.members]
    .sort(
      (left, right) =>
        precedence(left) - precedence(right) ||
        rendezvousPosition(left) - rendezvousPosition(right),
    )
    .map(member => ({
      host: member.hostId,
      address: member.callerAddress,
      dataCentre: member.dataCentre,
    }));
}
