import {createHash} from 'node:crypto';
import type {HostRow} from './host_row.ts';

/**
 * Minimum number of active hosts, if there are as many. The loss of a few hosts
 * then interrupts a small share of the requests.
 */
export const MINIMUM_ACTIVE_HOSTS = 16;

/**
 * Maximum number of active hosts. Callers use at most 64 addresses of a look-up,
 * and each active host keeps a connection to each other one.
 */
export const MAXIMUM_ACTIVE_HOSTS = 64;

/**
 * Processor capacity for each place of an endpoint. A running stream takes about
 * a thousandth of a core (docs/CAPACITY.md); the factor of ten leaves room for
 * bursts and for hosts that fail.
 */
const CORES_PER_SLOT = 0.01;

/**
 * Chooses the hosts that carry callers' requests, in order of rank. They alone
 * exchange their load with each other, so the cost of this exchange follows the
 * traffic that the endpoints can take and not the number of hosts.
 *
 * The largest hosts of each data centre are chosen, alternating between the data
 * centres, so that the loss of one leaves most of the capacity. Every host that
 * knows the same rows computes the same result.
 *
 * @param hosts Hosts that may be chosen.
 * @param endpointSlots Places of all endpoints.
 */
export function chooseActiveHosts(
  hosts: readonly HostRow[],
  endpointSlots: number,
): readonly HostRow[] {
  // A power of two, so that hosts whose lists of endpoints differ slightly agree.
  const slots = 2 ** Math.ceil(Math.log2(Math.max(1, endpointSlots)));
  const required = slots * CORES_PER_SLOT;
  const chosen: HostRow[] = [];
  let cores = 0;
  for (const host of alternate(hosts)) {
    const isEnough = chosen.length >= MINIMUM_ACTIVE_HOSTS && cores >= required;
    if (isEnough || chosen.length >= MAXIMUM_ACTIVE_HOSTS) break;
    chosen.push(host);
    cores += host.cores;
  }
  return chosen;
}

/** Takes the best remaining host of each data centre in turn. */
function* alternate(hosts: readonly HostRow[]): Iterable<HostRow> {
  const mostCores = Math.max(0, ...hosts.map(({cores}) => cores));
  const fastestLink = Math.max(0, ...hosts.map(host => host.linkMegabits));
  const byDataCentre = new Map<string, Candidate[]>();
  for (const host of hosts) {
    const candidate = {
      host,
      capacity: Math.min(
        host.cores / mostCores,
        host.linkMegabits / fastestLink,
      ),
      hash: hashOf(host.hostId),
    };
    const list = byDataCentre.get(host.dataCentre);
    if (list === undefined) byDataCentre.set(host.dataCentre, [candidate]);
    else list.push(candidate);
  }
  const lists = [...byDataCentre]
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([, list]) => list.sort(compareCandidates));
  const longest = Math.max(0, ...lists.map(list => list.length));
  for (let index = 0; index < longest; index++) {
    for (const list of lists) {
      const candidate = list[index];
      if (candidate !== undefined) yield candidate.host;
    }
  }
}

interface Candidate {
  readonly host: HostRow;
  /** Processor or link relative to the largest one, whichever is scarcer. */
  readonly capacity: number;
  readonly hash: number;
}

/** Larger hosts first; a hash spreads hosts of equal size. */
function compareCandidates(left: Candidate, right: Candidate): number {
  return (
    right.capacity - left.capacity ||
    right.host.cores - left.host.cores ||
    left.hash - right.hash ||
    (left.host.hostId < right.host.hostId ? -1 : 1)
  );
}

function hashOf(hostId: string): number {
  return createHash('sha1').update(hostId).digest().readUInt32BE(0);
}
