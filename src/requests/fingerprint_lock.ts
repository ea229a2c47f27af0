/**
 * Lets one run of each suspect through at a time: copies that ran at once
 * would each crash an endpoint before the first crash is known.
 */
export class FingerprintLock {
  private readonly running = new Map<string, Promise<void>>();

  /**
   * Waits until no other run of the fingerprint is under way on this host.
   *
   * @returns A function that lets the next one through; undefined when
   *     `signal` was aborted first.
   */
  async acquire(
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<(() => void) | undefined> {
    for (;;) {
      if (signal.aborted) return undefined;
      const other = this.running.get(fingerprint);
      if (other === undefined) break;
      await untilEither(other, signal);
    }
    let open = () => {};
    const left = new Promise<void>(resolve => {
      open = resolve;
    });
    this.running.set(fingerprint, left);
    return () => {
      if (this.running.get(fingerprint) === left) {
        this.running.delete(fingerprint);
      }
      open();
    };
  }
}

function untilEither(other: Promise<void>, signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    const finish = () => {
      signal.removeEventListener('abort', finish);
      resolve();
    };
    signal.addEventListener('abort', finish, {once: true});
    void other.then(finish);
  });
}
