import {rendezvousWeight} from '../membership/rendezvous_weight.ts';
import type {HostRow} from './host_row.ts';

/** Hosts that a caller gets at least, so that it can turn to another one. */
const MINIMUM_HOSTS = 3;

/**
 * Chooses the hosts that one caller should use. Callers use all addresses of a look-up
 * alike, so a host with a fraction of the processor of the largest one is given to that
 * fraction of the callers. All hosts answer a caller alike, because it stops using
 * connections to hosts that a later answer does not contain.
 *
 * @param hosts Hosts that may be used.
 * @param caller IP address of the caller.
 */
export function hostsForCaller(
  hosts: readonly HostRow[],
  caller: string,
): readonly HostRow[] {
  const mostCores = Math.max(...hosts.map(({cores}) => cores));
  const ranked = hosts
    .map(host => ({
      host,
      order: (rendezvousWeight(caller, host.hostId) * mostCores) / host.cores,
    }))
    .sort((left, right) => left.order - right.order);
  const chosen = ranked.filter(({order}) => order < 1).length;
  return ranked.slice(0, Math.max(chosen, MINIMUM_HOSTS)).map(({host}) => host);
}
