import type {StoreEra} from '../stores/mod.ts';
import type {Clock} from '../time/mod.ts';
import {isOfOwnEra, type ObservedRow} from './_observed_row.ts';
import type {LeaseRenewal} from './lease_renewal.ts';

/** Validity of the lease from the start of the last successful renewal. */
export const VALIDITY_MILLISECONDS = 1400;

/** Options of {@link LeaseHistory}. */
export interface LeaseHistoryOptions {
  clock: Clock;
  storeEra: StoreEra;
  hostId: string;
  /**
   * Minimum time between the last order of one holder and the first of the
   * next.
   */
  handoverDelayMilliseconds: number;
}

/** A version of the lease's row, and since when it is known to be the latest. */
export interface Observation {
  readonly era: number;
  readonly version: number;
  /** Monotonic time since which the row is known to be unchanged. */
  readonly unchangedSince: number;
}

/** The end of a term. */
export interface Resignation {
  readonly epoch: number;
  readonly lastOrderAt: number;
  /**
   * Whether this host held the lease in that epoch until it saw the store come back,
   * so that no other host can have acquired it meanwhile.
   */
  readonly isOwn: boolean;
}

/**
 * What a host knows of the holders of a lease beyond its row, which the store may
 * lose: their epochs, the last renewal and the last order.
 */
export class LeaseHistory {
  private epoch = 0;
  private lastResignation: Resignation | undefined;
  private renewal: Observation | undefined;

  constructor(private readonly options: LeaseHistoryOptions) {}

  /** Highest epoch in which a holder may have acted. */
  get highestEpoch(): number {
    return this.epoch;
  }

  /** Last renewal that another holder has reported. */
  get reportedRenewal(): Observation | undefined {
    return this.renewal;
  }

  /** Records an epoch, which must not be given out again. */
  recordEpoch(epoch: number): void {
    this.epoch = Math.max(this.epoch, epoch);
  }

  /** Records the last renewal of another holder. */
  recordRenewal({era, version, sinceMilliseconds}: LeaseRenewal): void {
    const now = this.options.clock.monotonicMilliseconds();
    const unchangedSince = now - sinceMilliseconds;
    this.renewal = {era, version, unchangedSince};
  }

  /** Records that the holder of an epoch sends no more orders. */
  recordResignation(resignation: Resignation): void {
    this.recordEpoch(resignation.epoch);
    this.lastResignation = resignation;
  }

  /**
   * Whether the last holder sends no more orders, according to its own report. A row of
   * an older era may hide a later holder, unless this host held the lease until it saw
   * the store come back.
   */
  hasResigned(row: ObservedRow): boolean {
    const resignation = this.lastResignation;
    if (resignation === undefined) return false;
    if (!isOfOwnEra(row) && !resignation.isOwn) return false;
    const epoch = Math.max(row.content?.epoch ?? 0, this.epoch);
    return resignation.epoch >= epoch;
  }

  /**
   * Whether no other host can have acted since this one. A restarted host may continue
   * its own term without a handover delay, but only if the delay of that term had
   * already passed.
   */
  isOwnTerm(previous: ObservedRow, startedAt: number): boolean {
    const {hostId, handoverDelayMilliseconds} = this.options;
    const resignation = this.lastResignation;
    if (resignation?.epoch === this.epoch && resignation.isOwn) return true;
    // The store may have lost the row of a later holder.
    const settledAt = this.unknownOrderTime(previous);
    if (startedAt < settledAt + handoverDelayMilliseconds) return false;
    if (previous.version === 0) return true;
    if (!isOfOwnEra(previous)) return false;
    const {holder, active} = previous.content;
    return holder === hostId && active;
  }

  /** Latest time at which a previous holder can have sent an order. */
  latestOrderTime(previous: ObservedRow, startedAt: number): number {
    const unknownOrderAt = this.unknownOrderTime(previous);
    const resignation = this.lastResignation;
    if (resignation?.epoch === this.epoch && this.hasResigned(previous))
      return Math.max(resignation.lastOrderAt, unknownOrderAt);
    if (previous.version === 0) return unknownOrderAt;
    if (isOfOwnEra(previous) && previous.content.released)
      return Math.max(startedAt, unknownOrderAt);
    // The previous holder may send orders for the validity period after its
    // last renewal, which happened no later than the first sight of the row
    // version.
    const validUntil = previous.unchangedSince + VALIDITY_MILLISECONDS;
    return Math.max(validUntil, unknownOrderAt);
  }

  /**
   * Latest time at which a holder can have sent an order whose row the store has lost
   * when it came back. Such a holder loses its lease with its next renewal, or by the
   * end of its validity. A row of the current era was written after that.
   */
  private unknownOrderTime(previous: ObservedRow): number {
    const {storeEra} = this.options;
    const isCurrent = previous.content?.era === storeEra.current;
    const restoredAt = isCurrent ? storeEra.changedAt : storeEra.since;
    return restoredAt + VALIDITY_MILLISECONDS;
  }
}
