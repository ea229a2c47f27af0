import {rendezvousOrder} from '../membership/rendezvous_order.ts';

/** What a host knows when it looks for the granter of an endpoint's permits. */
export interface GranterInput {
  /** Process of the endpoint. */
  readonly incarnation: string;
  readonly selfId: string;
  readonly isActive: boolean;
  /** Active host that supplies a standby host. */
  readonly upstream: string | undefined;
  /** Active hosts in order of rank. */
  readonly activeHosts: readonly string[];
  /** Hosts with a connection to this one. */
  readonly connected: ReadonlySet<string>;
}

/** Number of hosts that grant permits: the largest ones, which answer soonest. */
const GRANTERS = 8;

/**
 * Chooses the host that grants the permits of an endpoint: one of the best-ranked
 * active hosts that this one reaches. A standby host asks its upstream host.
 *
 * @returns Undefined for a standby host without an upstream host.
 */
export function chooseGranter(input: GranterInput): string | undefined {
  const {incarnation, selfId, isActive, upstream, activeHosts, connected} =
    input;
  if (!isActive) {
    return upstream !== undefined && connected.has(upstream)
      ? upstream
      : undefined;
  }
  const reachable = activeHosts
    .filter(hostId => hostId === selfId || connected.has(hostId))
    .slice(0, GRANTERS);
  const [granter] = rendezvousOrder(incarnation, reachable);
  return granter;
}
