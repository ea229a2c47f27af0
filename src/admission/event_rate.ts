/** Time constant of the average; covers one to two runs of 1.4 to 3 s. */
const AVERAGED_MILLISECONDS = 3000;

/** Moving average of the number of events a second. */
export class EventRate {
  private rate = 0;
  private updatedAt = Number.NEGATIVE_INFINITY;

  /** Records one event. */
  record(now: number): void {
    this.rate = this.perSecond(now) + 1000 / AVERAGED_MILLISECONDS;
    this.updatedAt = now;
  }

  /** Events a second. */
  perSecond(now: number): number {
    return this.rate * Math.exp((this.updatedAt - now) / AVERAGED_MILLISECONDS);
  }
}
