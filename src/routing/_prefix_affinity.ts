const MAXIMUM_ENTRIES = 10_000;

/** Remembers where requests with the same prompt prefix went last. */
export class PrefixAffinity {
  private readonly entries = new Map<string, string>();

  /** Records that a request with this prefix goes to an endpoint. */
  record(target: string, prefix: string, endpoint: string): void {
    const key = `${target}/${prefix}`;
    this.entries.delete(key);
    this.entries.set(key, endpoint);
    if (this.entries.size <= MAXIMUM_ENTRIES) return;
    const oldest = this.entries.keys().next().value;
    if (oldest !== undefined) this.entries.delete(oldest);
  }

  /** Endpoint that probably caches the prefix. */
  find(target: string, prefix: string): string | undefined {
    return this.entries.get(`${target}/${prefix}`);
  }
}
