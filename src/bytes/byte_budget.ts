/** Part of a budget that one holder may use, so that the others are still served. */
const HOLDER_SHARE = 0.5;

/** Bytes that are reserved for one message; released once it is no longer needed. */
export interface ByteReservation {
  /** Reserves more bytes. @returns False if the budget or the holder's share is used up. */
  grow(bytes: number): boolean;
  /**
   * Counts bytes that are held already, whether the budget has room for them or not.
   *
   * @returns False if the budget or the holder's share is used up.
   */
  add(bytes: number): boolean;
  /** Gives some of the bytes back. */
  shrink(bytes: number): void;
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

  /** Whether as much is reserved as one holder may use. */
  get isScarce(): boolean {
    return this.totalBytes >= this.limitBytes * HOLDER_SHARE;
  }

  /** Bytes that a holder has reserved now. */
  heldBy(holder: string): number {
    return this.heldBytes.get(holder) ?? 0;
  }

  /**
   * Opens an empty reservation.
   *
   * @param holder Who sends the bytes, such as a team or an endpoint.
   */
  open(holder: string): ByteReservation {
    let reserved = 0;
    let isReleased = false;
    const fits = (bytes: number) =>
      this.heldBy(holder) + bytes <= this.limitBytes * HOLDER_SHARE &&
      this.totalBytes + bytes <= this.limitBytes;
    const change = (bytes: number) => {
      reserved += bytes;
      this.totalBytes += bytes;
      const held = this.heldBy(holder) + bytes;
      if (held > 0) this.heldBytes.set(holder, held);
      else this.heldBytes.delete(holder);
    };
    return {
      grow: bytes => {
        if (isReleased || !fits(bytes)) return false;
        change(bytes);
        return true;
      },
      add: bytes => {
        if (isReleased) return false;
        const hasRoom = fits(bytes);
        change(bytes);
        return hasRoom;
      },
      shrink: bytes => {
        if (!isReleased) change(-Math.min(bytes, reserved));
      },
      release: () => {
        if (isReleased) return;
        change(-reserved);
        isReleased = true;
      },
    };
  }
}
