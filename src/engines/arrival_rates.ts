/**
 * Time constant of the moving averages; long enough to tell busy models from
 * rarely used ones.
 */
const TIME_CONSTANT_MILLISECONDS = 5000;

/** Minimum interval between two updates. */
const UPDATE_MILLISECONDS = 250;

/** Exponential moving averages of request rates, from cumulative counts. */
export class ArrivalRates {
  private readonly rates = new Map<string, number>();
  private counts: ReadonlyMap<string, number> = new Map();
  private updatedAt: number | undefined;
  private hasArrivals = false;

  /**
   * Sets expected rates until requests arrive; these then replace them at the pace
   * of the moving averages. Rates that are known already are kept.
   */
  expect(rates: ReadonlyMap<string, number>): void {
    for (const [target, rate] of rates) {
      this.rates.set(target, Math.max(this.of(target), rate));
    }
  }

  /**
   * Updates the rates from counts since the hosts started; a restart lowers
   * counts.
   */
  update(counts: ReadonlyMap<string, number>, now: number): void {
    const elapsed = now - (this.updatedAt ?? now);
    const previous = this.updatedAt === undefined ? counts : this.counts;
    if (this.updatedAt !== undefined && elapsed < UPDATE_MILLISECONDS) return;
    this.counts = counts;
    this.updatedAt = now;
    if (!this.hasArrivals) {
      this.hasArrivals = [...counts].some(
        ([target, count]) => count > (previous.get(target) ?? 0),
      );
      if (!this.hasArrivals) return;
    }
    const decay = Math.exp(-elapsed / TIME_CONSTANT_MILLISECONDS);
    for (const target of new Set([...counts.keys(), ...this.rates.keys()])) {
      const arrived = (counts.get(target) ?? 0) - (previous.get(target) ?? 0);
      const added = Math.max(0, arrived) / (TIME_CONSTANT_MILLISECONDS / 1000);
      this.rates.set(target, (this.rates.get(target) ?? 0) * decay + added);
    }
  }

  /** Requests a second for a target. */
  of(target: string): number {
    return this.rates.get(target) ?? 0;
  }
}
