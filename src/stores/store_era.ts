/**
 * Era of the store that this host has seen last. The store begins a new one each
 * time it comes back from an older copy; versions are given out again then, so that
 * only versions of one era can be compared.
 */
export class StoreEra {
  private era: number | undefined;
  private seenAt = Number.NEGATIVE_INFINITY;
  private changeSeenAt = Number.NEGATIVE_INFINITY;
  private readonly listeners = new Set<(era: number) => void>();

  /** The newest era that was seen; 0 before the first answer of the store. */
  get current(): number {
    return this.era ?? 0;
  }

  /**
   * Monotonic time at which the era was first seen here. -Infinity in the first era
   * of a store, in which nothing was ever lost.
   */
  get since(): number {
    return this.current === 0 ? Number.NEGATIVE_INFINITY : this.seenAt;
  }

  /** Monotonic time at which this host saw the store change its era; -Infinity if never. */
  get changedAt(): number {
    return this.changeSeenAt;
  }

  /** Records the era of an answer of the store, or of what a peer has read. */
  observe(era: number, now: number): void {
    const known = this.era;
    if (known !== undefined && era <= known) return;
    this.era = era;
    this.seenAt = now;
    // What was written before the first answer was written in this era.
    if (known === undefined) return;
    this.changeSeenAt = now;
    for (const listener of this.listeners) listener(era);
  }

  /** Calls `listener` when the store has come back from an older copy. */
  onChange(listener: (era: number) => void): void {
    this.listeners.add(listener);
  }
}
