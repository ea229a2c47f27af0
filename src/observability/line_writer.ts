import {write} from 'node:fs';

/** Options of {@link LineWriter}. */
export interface LineWriterOptions {
  /** File descriptor that lines go to. @default 1 */
  descriptor?: number;
  /** Bytes that may wait; further lines are dropped. @default 1048576 */
  maximumQueuedBytes?: number;
  /** Called with the number of dropped lines when there is room again. */
  onDropped?: (lines: number) => void;
}

const DEFAULT_MAXIMUM_QUEUED_BYTES = 1_048_576;

/**
 * Writes lines to a file descriptor without blocking. `process.stdout` blocks
 * on a full pipe, which would stop all traffic of the host.
 */
export class LineWriter {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private dropped = 0;

  constructor(private readonly options: LineWriterOptions = {}) {}

  /** Queues a line; drops it when too many bytes wait. */
  write(line: string): void {
    const limit =
      this.options.maximumQueuedBytes ?? DEFAULT_MAXIMUM_QUEUED_BYTES;
    if (this.waitingBytes + line.length > limit) {
      this.dropped++;
      return;
    }
    this.waiting.push(line);
    this.waitingBytes += line.length;
    if (!this.isWriting) this.flush();
  }

  private flush(): void {
    const text = this.waiting.join('\n') + '\n';
    this.waiting = [];
    this.waitingBytes = 0;
    this.isWriting = true;
    this.writeBytes(Buffer.from(text));
  }

  private writeBytes(bytes: Buffer): void {
    write(this.options.descriptor ?? 1, bytes, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => this.writeBytes(bytes), 10);
        return;
      }
      // Any other error means that nobody reads the log any more.
      if (error === null && written < bytes.length) {
        this.writeBytes(bytes.subarray(written));
        return;
      }
      this.isWriting = false;
      const {dropped} = this;
      this.dropped = 0;
      if (dropped > 0) this.options.onDropped?.(dropped);
      if (this.waiting.length > 0 && !this.isWriting) this.flush();
    });
  }
}
