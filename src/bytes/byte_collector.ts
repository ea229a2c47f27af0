/** Size of the first block; most collected bodies are smaller. */
const MINIMUM_BLOCK_BYTES = 1024;

/** Size up to which blocks double, the size of a read from a socket. */
const MAXIMUM_BLOCK_BYTES = 64 * 1024;

/**
 * Collects bytes that arrive in pieces of any size. The pieces are copied into
 * blocks: a `Buffer` for each small piece would take several times its payload, and
 * it would keep the whole memory of the read that it is a part of.
 *
 * @example
 * ```ts
 * const collector = new ByteCollector();
 * collector.append(Buffer.from('a'));
 * collector.append(Buffer.from('b'));
 * collector.take().toString(); // 'ab'
 * ```
 */
export class ByteCollector {
  private fullBlocks: Buffer[] = [];
  private block: Buffer = Buffer.alloc(0);
  private usedBytes = 0;
  private totalBytes = 0;

  /** Number of collected bytes. */
  get length(): number {
    return this.totalBytes;
  }

  /** Adds a copy of the bytes. */
  append(bytes: Uint8Array): void {
    this.totalBytes += bytes.length;
    let copied = 0;
    while (copied < bytes.length) {
      if (this.usedBytes === this.block.length) this.addBlock();
      const count = Math.min(
        bytes.length - copied,
        this.block.length - this.usedBytes,
      );
      this.block.set(bytes.subarray(copied, copied + count), this.usedBytes);
      this.usedBytes += count;
      copied += count;
    }
  }

  /** Returns the collected bytes and forgets them. */
  take(): Buffer {
    const blocks = [...this.fullBlocks, this.block.subarray(0, this.usedBytes)];
    const bytes = Buffer.concat(blocks, this.totalBytes);
    this.clear();
    return bytes;
  }

  /** Returns the oldest collected bytes, at most 64 KiB, and forgets them. */
  takeBlock(): Buffer | undefined {
    if (this.totalBytes === 0) return undefined;
    let oldest = this.fullBlocks.shift();
    if (oldest === undefined) {
      oldest = this.block.subarray(0, this.usedBytes);
      this.block = Buffer.alloc(0);
      this.usedBytes = 0;
    }
    this.totalBytes -= oldest.length;
    return oldest;
  }

  /** Forgets the collected bytes. */
  clear(): void {
    this.fullBlocks = [];
    this.block = Buffer.alloc(0);
    this.usedBytes = 0;
    this.totalBytes = 0;
  }

  private addBlock(): void {
    if (this.usedBytes > 0) this.fullBlocks.push(this.block);
    const size = Math.min(
      Math.max(this.block.length * 2, MINIMUM_BLOCK_BYTES),
      MAXIMUM_BLOCK_BYTES,
    );
    this.block = Buffer.allocUnsafe(size);
    this.usedBytes = 0;
  }
}
