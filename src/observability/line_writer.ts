import {write} from 'node:fs';

/** Options of {@link LineWriter}. */
export interface LineWriterOptions {
  /** File descriptor to write to. @default 1 */
  descriptor?: number;
  /** Maximum queue size in bytes; further lines are dropped. @default 1048576 */
  maximumQueuedBytes?: number;
  /** Called with the number of dropped lines after the next completed write. */
  onDropped?: (lines: number) => void;
}

const DEFAULT_MAXIMUM_QUEUED_BYTES = 1_048_576;

/**
 * Writes lines to a file descriptor without blocking. Writing to `process.stdout`
 * blocks when the pipe is full, which would stop all traffic of the host.
 */
export class LineWriter {
  private queuedLines: string[] = [];
  private queuedBytes = 0;
  private isWriting = false;
  private droppedLines = 0;
  private readonly idleListeners: (() => void)[] = [];

  constructor(private readonly options: LineWriterOptions = {}) {}

  /** Queues a line, or drops it when the queue is full. */
  write(line: string): void {
    const limit =
      this.options.maximumQueuedBytes ?? DEFAULT_MAXIMUM_QUEUED_BYTES;
    if (this.queuedBytes + line.length > limit) {
      this.droppedLines++;
      return;
    }
    this.queuedLines.push(line);
    this.queuedBytes += line.length;
    if (!this.isWriting) this.flush();
  }

  /** Resolves once all queued lines are written; the reader may delay it. */
  flushed(): Promise<void> {
    if (!this.isWriting) return Promise.resolve();
    return new Promise(resolve => this.idleListeners.push(resolve));
  }

  private flush(): void {
    const text = this.queuedLines.join('\n') + '\n';
    this.queuedLines = [];
    this.queuedBytes = 0;
    this.isWriting = true;
    this.writeBytes(Buffer.from(text));
  }

  private writeBytes(bytes: Buffer): void {
    write(this.options.descriptor ?? 1, bytes, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => this.writeBytes(bytes), 10);
        return;
      }
      // After any other error nobody reads the log any more; the rest of the
      // bytes is discarded.
      if (error === null && written < bytes.length) {
        this.writeBytes(bytes.subarray(written));
        return;
      }
      this.isWriting = false;
      const {droppedLines} = this;
      this.droppedLines = 0;
      if (droppedLines > 0) this.options.onDropped?.(droppedLines);
      if (this.isWriting) return;
      if (this.queuedLines.length > 0) this.flush();
      else for (const listener of this.idleListeners.splice(0)) listener();
    });
  }
}
