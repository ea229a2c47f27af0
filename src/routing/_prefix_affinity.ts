const MAXIMUM_ENTRIES = 10_000;

/**
 * Remembers the endpoint to which requests with a prompt prefix were last sent.
 * Evicts the least recently recorded prefix above 10,000 entries.
 */
export class PrefixAffinity {
  private readonly entries = new Map<string, string>();

  /** Records that a request with this prefix is sent to an endpoint. */
  record(target: string, prefix: string, endpoint: string): void {
    const key = `${target}/${prefix}`;
    this.entries.delete(key);
    this.entries.set(key, endpoint);
    if (this.entries.size <= MAXIMUM_ENTRIES) return;
    const oldest = this.entries.keys().next().value;
    if (oldest !== undefined) this.entries.delete(oldest);
  }

  /** Endpoint that probably has the prefix cached. */
  find(target: string, prefix: string): string | undefined {
    return this.entries.get(`${target}/${prefix}`);
  }
}
