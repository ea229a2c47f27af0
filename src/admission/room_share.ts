import type {Endpoint} from '../fleet/mod.ts';

/** Options of {@link RoomShare}. */
export interface RoomShareOptions {
  hostId: string;
  /** Share of this host among those that send requests, 0 to 1. */
  evenShare: () => number;
  /**
   * Share of the slots whose use this host knows of: 1 with reports of the other hosts,
   * its equal share without.
   */
  slotShare: () => number;
}

/** Requests that a host would like to send. */
export interface RoomClaim {
  readonly candidates: readonly Endpoint[];
  /** Occupancy up to which a candidate may be used. */
  readonly level: number;
  /** Whether the request has just arrived and cannot wait. */
  readonly isImmediate: boolean;
}

/**
 * Part of the free slots of engines that one host uses before the next counts arrive.
 * For many hosts that see the same free slots in counts that are a report interval old,
 * and would fill each of them many times: a host sends its share of the room, rounded
 * up or down by a hash of its name, and one request for each of its own that ended.
 */
export class RoomShare {
  /** Requests of this host at each endpoint when the counts arrived. */
  private ownAtStart = new Map<Endpoint, number>();
  private window = 0;
  private rounding: number;

  constructor(private readonly options: RoomShareOptions) {
    this.rounding = fraction(`${options.hostId} 0`);
  }

  /** Starts to count anew, since new counts of the other hosts have arrived. */
  startWindow(endpoints: Iterable<Endpoint>): void {
    this.window++;
    this.rounding = fraction(`${this.options.hostId} ${this.window}`);
    this.ownAtStart = new Map();
    for (const endpoint of endpoints)
      this.ownAtStart.set(endpoint, ownRequests(endpoint));
  }

  /** Occupancy of the part of an endpoint's slots whose use this host knows of. */
  occupancy(endpoint: Endpoint): number {
    return (
      endpoint.occupancy / Math.max(Number.EPSILON, this.options.slotShare())
    );
  }

  /** Candidates that are occupied less than a level. */
  below({candidates, level}: Omit<RoomClaim, 'isImmediate'>): Endpoint[] {
    return candidates.filter(endpoint => this.occupancy(endpoint) < level);
  }

  /** Whether this host may send one more request now. */
  allows({candidates, level, isImmediate}: RoomClaim): boolean {
    let added = 0;
    let room = 0;
    const slotShare = this.options.slotShare();
    for (const endpoint of candidates) {
      added += ownRequests(endpoint) - (this.ownAtStart.get(endpoint) ?? 0);
      const free = (level - this.occupancy(endpoint)) * slotShare;
      room += Math.ceil(Math.max(0, free) * endpoint.record.slots);
    }
    const part = (room + added) * this.shareOf(candidates);
    // Each host may send one without a rush: there is room for all of them, or few
    // requests that cannot wait arrive within one report interval.
    const isSafe = part >= 1 || isImmediate;
    return added + 1 <= part + (isSafe ? 1 : this.rounding);
  }

  /**
   * Part of the requests at the candidates that is of this host, which follows its part
   * of the waiting requests; at least an equal share.
   */
  shareOf(candidates: readonly Endpoint[]): number {
    let own = 0;
    let all = 0;
    for (const endpoint of candidates) {
      own += ownRequests(endpoint);
      all += ownRequests(endpoint) + endpoint.peerInFlight;
    }
    const even = Math.min(1, this.options.evenShare());
    return all === 0 ? even : Math.max(even, own / all);
  }
}

function ownRequests({inFlight, reserved}: Endpoint): number {
  return inFlight + reserved;
}

/** Returns a number in [0, 1) that differs between hosts and windows (FNV-1a). */
function fraction(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d);
  return ((hash ^ (hash >>> 13)) >>> 0) / 2 ** 32;
}
