/** Time constant of the rates: long enough to tell busy models from rare ones. */
const TIME_CONSTANT_MILLISECONDS = 5000;

/** Shortest time between two updates. */
const UPDATE_MILLISECONDS = 250;

/** Requests a second for each target, from counts that only grow. */
export class ArrivalRates {
  private readonly rates = new Map<string, number>();
  private counts: ReadonlyMap<string, number> = new Map();
  private updatedAt: number | undefined;

  /** Takes counts since the hosts' starts; a restart lowers them. */
  update(counts: ReadonlyMap<string, number>, now: number): void {
    const elapsed = now - (this.updatedAt ?? now);
    const former = this.updatedAt === undefined ? counts : this.counts;
    if (this.updatedAt !== undefined && elapsed < UPDATE_MILLISECONDS) return;
    this.counts = counts;
    this.updatedAt = now;
    const decay = Math.exp(-elapsed / TIME_CONSTANT_MILLISECONDS);
    for (const target of new Set([...counts.keys(), ...this.rates.keys()])) {
      const arrived = (counts.get(target) ?? 0) - (former.get(target) ?? 0);
      const added = Math.max(0, arrived) / (TIME_CONSTANT_MILLISECONDS / 1000);
      this.rates.set(target, (this.rates.get(target) ?? 0) * decay + added);
    }
  }

  /** Requests a second for a target. */
  of(target: string): number {
    return this.rates.get(target) ?? 0;
  }
}
