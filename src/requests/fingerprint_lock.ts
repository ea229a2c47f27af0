/**
 * Serializes the runs of each suspect on this host: concurrent copies could each
 * crash an endpoint before the first crash is known.
 */
export class FingerprintLock {
  private readonly holders = new Map<string, Promise<void>>();

  /**
   * Waits until no other run with the fingerprint is in progress on this host.
   *
   * @returns A function that releases the lock; undefined if
   *     `signal` was aborted first.
   */
  async acquire(
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<(() => void) | undefined> {
    for (;;) {
      if (signal.aborted) return undefined;
      const currentHolder = this.holders.get(fingerprint);
      if (currentHolder === undefined) break;
      await waitForEither(currentHolder, signal);
    }
    let release = () => {};
    const released = new Promise<void>(resolve => {
      release = resolve;
    });
    this.holders.set(fingerprint, released);
    return () => {
      if (this.holders.get(fingerprint) === released) {
        this.holders.delete(fingerprint);
      }
      release();
    };
  }
}

function waitForEither(
  other: Promise<void>,
  signal: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    const finish = () => {
      signal.removeEventListener('abort', finish);
      resolve();
    };
    signal.addEventListener('abort', finish, {once: true});
    void other.then(finish);
  });
}
