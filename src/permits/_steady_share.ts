/**
 * Time for which a share must have been held before it is granted from. A permit of the
 * former granter is used up to 1,250 ms after it was granted: 1,000 ms ahead and 250 ms
 * on its way. Hosts that disagree on who grants have the rest of the time to agree.
 */
const STEADY_MILLISECONDS = 1500;

/**
 * Time without an observation after which a host counts as stopped. Others replace a
 * silent host after 2.5 s; half a second of load on the event loop is usual.
 */
const MAXIMUM_PAUSE_MILLISECONDS = 1000;

interface Sample {
  readonly from: number;
  readonly share: number;
}

/**
 * Lowest part of a limit that a host has been entitled to grant within the last moments.
 * A host that has just become the granter, reaches more hosts than before, or was stopped
 * may only grant what nobody else can have granted meanwhile.
 */
export class SteadyShare {
  private samples: Sample[] = [];
  private observedAt: number | undefined;

  /**
   * Records the part that this host may grant, 0 to 1; the first one counts as held
   * before.
   *
   * @param now Monotonic time.
   */
  observe(now: number, share: number): void {
    const {observedAt} = this;
    this.observedAt = now;
    if (
      observedAt !== undefined &&
      now - observedAt > MAXIMUM_PAUSE_MILLISECONDS
    )
      this.samples = [
        {from: observedAt, share: 0},
        {from: now, share},
      ];
    else if (this.samples.at(-1)?.share !== share)
      this.samples.push({from: now, share});
    const isOver = () => {
      const next = this.samples[1];
      return next !== undefined && next.from <= now - STEADY_MILLISECONDS;
    };
    while (isOver()) this.samples.shift();
  }

  /** The lowest part that was observed within the last moments. */
  get lowest(): number {
    return Math.min(...this.samples.map(({share}) => share));
  }
}
