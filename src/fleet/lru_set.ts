/** Set of strings that drops the least recently added ones beyond its capacity. */
export class LruSet {
  private readonly values = new Set<string>();

  constructor(private readonly capacity: number) {}

  /** Adds a value, or marks it as the most recent one. */
  add(value: string): void {
    this.values.delete(value);
    this.values.add(value);
    const [oldest] = this.values;
    if (this.values.size > this.capacity && oldest !== undefined)
      this.values.delete(oldest);
  }

  /** Whether a value is in the set. */
  has(value: string): boolean {
    return this.values.has(value);
  }
}
