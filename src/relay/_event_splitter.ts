const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Splits a stream of server-sent events at the blank lines between them without
 * changing their bytes. A stream that breaks within an event can thus be
 * forwarded up to its last complete event.
 */
export class EventSplitter {
  private incompleteEvent: Buffer = Buffer.alloc(0);
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
    const bytes =
      this.incompleteEvent.length === 0
        ? chunk
        : Buffer.concat([this.incompleteEvent, chunk]);
    const end = endOfLastEvent(bytes);
    this.incompleteEvent = bytes.subarray(end);
    const events = bytes.subarray(0, end);
    if (events.length > 0) this.recordEventIds(events);
    return events;
  }

  /** Discards the buffered bytes of an incomplete event. */
  discardIncompleteEvent(): void {
    this.incompleteEvent = Buffer.alloc(0);
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
