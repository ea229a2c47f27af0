/** Part of a budget that one holder may use, so that the others are still served. */
const HOLDER_SHARE = 0.5;

/** Bytes that are reserved for one message; released once it is no longer needed. */
export interface ByteReservation {
  /** Reserves more bytes. @returns False if the budget or the holder's share is used up. */
  grow(bytes: number): boolean;
  /** Gives all bytes back. Further calls have no effect. */
  release(): void;
}

/** Limits the bytes that a process holds for others, over all messages. */
export class ByteBudget {
  private readonly heldBytes = new Map<string, number>();
  private totalBytes = 0;

  constructor(private readonly limitBytes: number) {}

  /** Bytes that are reserved now. */
  get reservedBytes(): number {
    return this.totalBytes;
  }

  /**
   * Opens an empty reservation.
   *
   * @param holder Who sends the bytes, such as a team or an endpoint.
   */
  open(holder: string): ByteReservation {
    let reserved = 0;
    let isReleased = false;
    return {
      grow: bytes => {
        if (isReleased) return false;
        const held = (this.heldBytes.get(holder) ?? 0) + bytes;
        if (
          held > this.limitBytes * HOLDER_SHARE ||
          this.totalBytes + bytes > this.limitBytes
        )
          return false;
        this.heldBytes.set(holder, held);
        this.totalBytes += bytes;
        reserved += bytes;
        return true;
      },
      release: () => {
        if (isReleased) return;
        isReleased = true;
        this.totalBytes -= reserved;
        const held = (this.heldBytes.get(holder) ?? 0) - reserved;
        if (held > 0) this.heldBytes.set(holder, held);
        else this.heldBytes.delete(holder);
      },
    };
  }
}
