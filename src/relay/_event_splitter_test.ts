import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {EventSplitter} from './_event_splitter.ts';

/** Size of an event of which the square of its size is too long to wait for. */
const LONG_EVENT_BYTES = 1024 * 1024;

describe('EventSplitter', () => {
  interface Case {
    name: string;
    chunks: string[];
    events: string;
    lastEventId: string | undefined;
    pendingBytes: number;
  }
  const cases: Case[] = [
    {
      name: 'complete events',
      chunks: ['id: 1\ndata: a\n\nid: 2\ndata: b\n\n'],
      events: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
      lastEventId: '2',
      pendingBytes: 0,
    },
    {
      name: 'an event split across chunks',
      chunks: ['id: 1\ndata: a\n\nid: 2\nda', 'ta: b'],
      events: 'id: 1\ndata: a\n\n',
      lastEventId: '1',
      pendingBytes: 13,
    },
    {
      name: 'a blank line split across chunks',
      chunks: ['id: 1\ndata: a\n', '\nid: 2\n'],
      events: 'id: 1\ndata: a\n\n',
      lastEventId: '1',
      pendingBytes: 6,
    },
    {
      name: 'lines that end with CRLF',
      chunks: ['id: 1\r\ndata: a\r\n\r\n'],
      events: 'id: 1\r\ndata: a\r\n\r\n',
      lastEventId: '1',
      pendingBytes: 0,
    },
  ];
  // Guards against ORDER violations: a resumed stream must continue after a
  // complete event.
  test.each(cases)('forwards $name unchanged', entry => {
    const splitter = new EventSplitter();
    const passed = entry.chunks.map(chunk =>
      splitter.push(Buffer.from(chunk)).toString(),
    );
    expect(passed.join('')).toBe(entry.events);
    expect(splitter.lastEventId).toBe(entry.lastEventId);
    expect(splitter.pendingBytes).toBe(entry.pendingBytes);
  });

  // Guards against streams that are cut, or end as complete, depending on how the
  // network divides them.
  test('the division into chunks changes neither events nor ids', () => {
    const piece = fc.constantFrom('\n', '\r\n', 'id: 1', 'id: 2', 'data: a');
    fc.assert(
      fc.property(
        fc.array(piece, {maxLength: 20}),
        fc.array(fc.nat(5), {maxLength: 40}),
        (pieces, sizes) => {
          const bytes = Buffer.from(pieces.join(''));
          const whole = new EventSplitter();
          const events = whole.push(bytes);
          const divided = new EventSplitter();
          const passed: Buffer[] = [];
          let start = 0;
          for (const size of sizes) {
            passed.push(divided.push(bytes.subarray(start, start + size)));
            start += size;
          }
          passed.push(divided.push(bytes.subarray(start)));
          expect(Buffer.concat(passed)).toEqual(events);
          expect(divided.lastEventId).toBe(whole.lastEventId);
          expect(divided.pendingBytes).toBe(whole.pendingBytes);
        },
      ),
      {seed: 1, numRuns: 2000},
    );
  });

  // Guards against CONFIG violations: the cost of an event grew with the square of its
  // size, and the deadlines of all requests waited for it. Takes minutes then.
  test('an event in pieces of one byte takes no longer than its size', () => {
    const splitter = new EventSplitter();
    const chunk = Buffer.from('x');
    for (let count = 0; count < LONG_EVENT_BYTES; count++) splitter.push(chunk);
    expect(splitter.pendingBytes).toBe(LONG_EVENT_BYTES);
    expect(splitter.push(Buffer.from('\n\n')).length).toBe(
      LONG_EVENT_BYTES + 2,
    );
  });
});
