import type {Member} from '../contracts/mod.ts';

/** A host as callers see it. */
export interface HostAddress {
  readonly host: string;
  readonly address: string;
  readonly dataCentre: string;
}

/** Options of {@link orderAddresses}. */
export interface AddressOrderOptions {
  /** Hosts that take new callers. */
  members: readonly Member[];
  /** Data centre of the caller. */
  dataCentre: string;
  /** Host ids by rendezvous hashing for this caller. */
  rendezvousOrder: readonly string[];
  /** Owner of the team's token bucket; undefined when it is not known. */
  ownerHostId: string | undefined;
}

/**
 * Orders addresses for a caller: the owner of its team's limits first, then
 * the caller's own data centre, then the others; ties by rendezvous hashing.
 */
export function orderAddresses(options: AddressOrderOptions): HostAddress[] {
  const rank = new Map(
    options.rendezvousOrder.map((hostId, index) => [hostId, index]),
  );
  const distance = (member: Member) => {
    if (member.hostId === options.ownerHostId) return 0;
    return member.dataCentre === options.dataCentre ? 1 : 2;
  };
  const rankOf = (member: Member) =>
    rank.get(member.hostId) ?? Number.MAX_SAFE_INTEGER;
  return [...options.members]
    .sort(
      (left, right) =>
        distance(left) - distance(right) || rankOf(left) - rankOf(right),
    )
    .map(member => ({
      host: member.hostId,
      address: member.callerAddress,
      dataCentre: member.dataCentre,
    }));
}
