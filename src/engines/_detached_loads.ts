/**
 * Loads from the weight store that go on at engines which are no longer managed, since
 * their data centre is evacuated. They use the weight store until their expected end.
 */
export class DetachedLoads {
  /** Monotonic times of their expected ends. */
  private ends: number[] = [];

  /** Adds a load by the monotonic time of its expected end. */
  add(expectedAt: number): void {
    this.ends.push(expectedAt);
  }

  /** Removes the loads that have ended, and calls `onEnded` for each. */
  takeEnded(now: number, onEnded: () => void): void {
    const ended = this.ends.filter(end => end <= now);
    this.ends = this.ends.filter(end => end > now);
    for (let count = 0; count < ended.length; count++) onEnded();
  }

  /** Milliseconds until each load ends. */
  endIn(now: number): readonly number[] {
    return this.ends.map(end => end - now);
  }

  /** Forgets all loads. */
  clear(): void {
    this.ends = [];
  }
}
