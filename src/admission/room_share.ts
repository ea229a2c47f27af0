import type {Endpoint} from '../fleet/mod.ts';
import {GOLDEN_FRACTION} from './_golden_fraction.ts';

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

/** A request that a host would like to send. */
export interface RoomClaim {
  readonly candidates: readonly Endpoint[];
  /** Occupancy up to which a candidate may be used. */
  readonly level: number;
  /** Whether the request had little slack from the start, and is not late. */
  readonly isImmediate: boolean;
  /** Windows for which the request has waited although there was room. */
  readonly windowsWithRoom: number;
}

/**
 * Weight of an equal share of the room, in slots of the engines: with half of them in
 * use, it counts as much as a host's share of the requests.
 */
const PRIOR_SHARE = 0.5;

/** Windows after which the counts contain what other hosts have sent. */
const DELAYED_WINDOWS = 2;

/** Requests that a host has sent to each endpoint between two counts. */
class Window {
  readonly immediate = new Map<Endpoint, number>();
  readonly patient = new Map<Endpoint, number>();
}

/**
 * Part of the free slots of engines that one host uses before the other hosts see it.
 * For many hosts that see the same free slots in delayed counts, and would fill each of
 * them many times: a host sends its share of the room, rounded up or down by a hash of
 * its name. A request that replaces one of its own that has ended needs no share. Immediate requests are few
 * at a time, since they become late soon, so each host may send one of them.
 *
 * The counts are used for one report interval, and those of other hosts were up to one
 * old then, so the room is divided over two windows.
 */
export class RoomShare {
  private current = new Window();
  private previous = new Window();
  private windows = 0;
  private draws = 0;
  private readonly firstDraw: number;
  private rounding: number;
  /** Share of the slots at the time of the counts; undefined before the first. */
  private countedShare: number | undefined;

  constructor(private readonly options: RoomShareOptions) {
    this.rounding = fraction(`${options.hostId} 0`);
    this.firstDraw = fraction(`${options.hostId} draw`);
  }

  /** Starts to count anew, since new counts of the other hosts have arrived. */
  startWindow(): void {
    this.windows++;
    this.countedShare = this.options.slotShare();
    this.rounding = fraction(`${this.options.hostId} ${this.windows}`);
    this.previous = this.current;
    this.current = new Window();
  }

  /** Number of the current window. */
  get window(): number {
    return this.windows;
  }

  /** Records that a request is sent that {@link allows} has allowed. */
  record(endpoint: Endpoint, isImmediate: boolean): void {
    const {immediate, patient} = this.current;
    const sent = isImmediate ? immediate : patient;
    sent.set(endpoint, (sent.get(endpoint) ?? 0) + 1);
  }

  /** Occupancy of the part of an endpoint's slots whose use this host knows of. */
  occupancy(endpoint: Endpoint): number {
    return endpoint.occupancy / Math.max(Number.EPSILON, this.slotShare);
  }

  /** Candidates to which a request of a level may be sent; none if there is no room. */
  below({
    candidates,
    level,
  }: Pick<RoomClaim, 'candidates' | 'level'>): Endpoint[] {
    if (this.roomBelow(candidates, level) <= 0) return [];
    const limit = Math.max(1, level);
    return candidates.filter(endpoint => this.occupancy(endpoint) < limit);
  }

  /** Occupancy that the level of a request must exceed to find room. */
  levelNeeded(candidates: readonly Endpoint[]): number {
    const slots = this.slotsOf(candidates);
    const free = this.roomBelow(candidates, 1);
    return free > 0
      ? 1 - free / (slots * this.slotShare)
      : Math.min(...candidates.map(endpoint => this.occupancy(endpoint)));
  }

  /**
   * Free slots below a level that this host can count on within a few windows, since
   * its share follows its requests. They are weighted with the free part of all slots:
   * few free slots are taken by the waiting requests of the other hosts as well.
   */
  spareSlots({
    candidates,
    level,
  }: Pick<RoomClaim, 'candidates' | 'level'>): number {
    const room = this.roomBelow(candidates, level);
    if (room <= 0) return 0;
    return room ** 2 / (this.slotsOf(candidates) * this.slotShare);
  }

  /** Whether this host may send one more request now. */
  allows(claim: RoomClaim): boolean {
    const {candidates, level, isImmediate, windowsWithRoom} = claim;
    const kind = isImmediate ? 'immediate' : 'patient';
    let sent = 0;
    for (const endpoint of candidates) {
      sent += this.sentTo(endpoint, kind);
    }
    const room = Math.ceil(this.roomBelow(candidates, level));
    const part = (room + sent) * this.shareOf(candidates);
    if (isImmediate) return sent <= part;
    // Room that stays free shows that few hosts have a request for it.
    const unusedWindows = Math.max(0, windowsWithRoom - DELAYED_WINDOWS);
    const unused = this.spareSlots(claim) * this.evenShare * unusedWindows;
    return sent + 1 <= part + unused + this.rounding;
  }

  /**
   * Draws one of several candidates below a level in proportion to their free slots,
   * since hosts that all take the least occupied one fill it many times over.
   */
  draw({candidates, level}: Pick<RoomClaim, 'candidates' | 'level'>): Endpoint {
    const weights = this.weights({candidates, level});
    let left = weights.reduce((sum, weight) => sum + weight, 0);
    // Multiples of this fraction spread the requests of a host evenly.
    left *= (this.firstDraw + this.draws++ * GOLDEN_FRACTION) % 1;
    const drawn = candidates.find((_, index) => {
      left -= weights[index] ?? 0;
      return left < 0;
    });
    const chosen = drawn ?? candidates[0];
    if (chosen === undefined) throw new Error('No candidates to draw from');
    return chosen;
  }

  /** Part of the draws that each of several candidates gets in the long run. */
  drawShares(
    claim: Pick<RoomClaim, 'candidates' | 'level'>,
  ): ReadonlyMap<Endpoint, number> {
    const weights = this.weights(claim);
    const sum = weights.reduce((total, weight) => total + weight, 0);
    return new Map(
      claim.candidates.map((endpoint, index) => [
        endpoint,
        (weights[index] ?? 0) / sum,
      ]),
    );
  }

  private weights({
    candidates,
    level,
  }: Pick<RoomClaim, 'candidates' | 'level'>) {
    return candidates.map(endpoint => {
      const {condition, record} = endpoint;
      const free =
        Math.max(1, level) - this.occupancy(endpoint) - condition.failureRate;
      return Math.max(Number.EPSILON, free) * Math.max(1, record.slots);
    });
  }

  /**
   * Slots that are free below a level. What a lower level than 1 leaves free is kept
   * over all candidates together: the slots of a single engine are too few to tell
   * levels apart.
   */
  private roomBelow(candidates: readonly Endpoint[], level: number): number {
    const limit = Math.max(1, level);
    const {slotShare} = this;
    let room = (level - limit) * this.slotsOf(candidates) * slotShare;
    for (const endpoint of candidates) {
      const free = Math.max(0, limit - this.occupancy(endpoint));
      room += free * slotShare * Math.max(1, endpoint.record.slots);
    }
    return room;
  }

  /**
   * The share belongs to the counts and changes with them. It is not asked for anew for
   * each waiting request and engine, since that takes time in proportion to the hosts.
   */
  private get slotShare(): number {
    return this.countedShare ?? this.options.slotShare();
  }

  private get evenShare(): number {
    return Math.min(1, this.options.evenShare());
  }

  private slotsOf(candidates: readonly Endpoint[]): number {
    return candidates.reduce(
      (sum, {record}) => sum + Math.max(1, record.slots),
      0,
    );
  }

  /**
   * Part of the requests at the candidates that is of this host, which follows its part
   * of the waiting requests. With few requests it is an equal share, and recent ones are
   * left out since those of the other hosts are not known yet; so the shares of all
   * hosts add up to 1.
   */
  shareOf(candidates: readonly Endpoint[]): number {
    // A host without reports has its part of the slots for itself.
    if (this.slotShare < 1) return 1;
    let own = 0;
    let all = 0;
    for (const endpoint of candidates) {
      const sent =
        this.sentTo(endpoint, 'immediate') + this.sentTo(endpoint, 'patient');
      const known = Math.max(0, ownRequests(endpoint) - sent);
      own += known;
      all += known + endpoint.peerInFlight;
    }
    const prior = Math.max(1, this.slotsOf(candidates)) * PRIOR_SHARE;
    return (own + this.evenShare * prior) / (all + prior);
  }

  private sentTo(endpoint: Endpoint, kind: keyof Window): number {
    return (
      (this.current[kind].get(endpoint) ?? 0) +
      (this.previous[kind].get(endpoint) ?? 0)
    );
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
