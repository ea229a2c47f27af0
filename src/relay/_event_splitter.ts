import {ByteCollector} from '../bytes/mod.ts';

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Bytes before the last newline of a blank line that belong to it: LF, CR. */
const BLANK_LINE_PREFIX_BYTES = 2;

/**
 * Splits a stream of server-sent events at the blank lines between them without
 * changing their bytes. A stream that breaks within an event can thus be
 * forwarded up to its last complete event. Each byte is read and copied a fixed
 * number of times, however small the chunks are.
 */
export class EventSplitter {
  private readonly incompleteEvent = new ByteCollector();
  /** Last bytes of the incomplete event, in which a blank line can begin. */
  private lastBytes: Buffer = Buffer.alloc(0);
  private id: string | undefined;

  /** Id of the last complete event that has one. */
  get lastEventId(): string | undefined {
    return this.id;
  }

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.incompleteEvent.length;
  }

  /** Adds a chunk and returns the events that are complete now, unchanged. */
  push(chunk: Buffer): Buffer {
    const searched = Buffer.concat([this.lastBytes, chunk]);
    const end = endOfLastEvent(searched) - this.lastBytes.length;
    this.lastBytes = Buffer.from(searched.subarray(-BLANK_LINE_PREFIX_BYTES));
    if (end <= 0) {
      this.incompleteEvent.append(chunk);
      return Buffer.alloc(0);
    }
    const events = this.completeEvent(chunk.subarray(0, end));
    this.incompleteEvent.append(chunk.subarray(end));
    this.recordEventIds(events);
    return events;
  }

  /** Discards the buffered bytes of an incomplete event. */
  discardIncompleteEvent(): void {
    this.incompleteEvent.clear();
    this.lastBytes = Buffer.alloc(0);
  }

  private completeEvent(rest: Buffer): Buffer {
    if (this.incompleteEvent.length === 0) return rest;
    this.incompleteEvent.append(rest);
    return this.incompleteEvent.take();
  }

  private recordEventIds(events: Buffer): void {
    for (const line of events.toString('latin1').split(/\r\n|\n|\r/)) {
      const match = /^id:\s?(.*)$/.exec(line);
      if (match !== null) this.id = match[1];
    }
  }
}

/** Index after the last blank line; 0 when there is none. */
function endOfLastEvent(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (bytes[index] !== NEWLINE) continue;
    let previous = index - 1;
    if (bytes[previous] === CARRIAGE_RETURN) previous--;
    if (previous >= 0 && bytes[previous] === NEWLINE) return index + 1;
  }
  return 0;
}
