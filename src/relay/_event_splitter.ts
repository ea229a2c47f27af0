const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Splits a stream of events at their blank lines, keeping their bytes, so that
 * a stream that breaks in the middle of an event ends after a whole one.
 */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);
  private id: string | undefined;

  /** Id of the last whole event that had one. */
  get lastEventId(): string | undefined {
    return this.id;
  }

  /** Bytes of an event that has not ended. */
  get pendingBytes(): number {
    return this.rest.length;
  }

  /** Adds bytes and returns the whole events among them, unchanged. */
  push(chunk: Buffer): Buffer {
    const bytes =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const end = endOfLastEvent(bytes);
    this.rest = bytes.subarray(end);
    const events = bytes.subarray(0, end);
    if (events.length > 0) this.noteIds(events);
    return events;
  }

  /** Forgets bytes of an event that was cut off. */
  discardRest(): void {
    this.rest = Buffer.alloc(0);
  }

  private noteIds(events: Buffer): void {
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
