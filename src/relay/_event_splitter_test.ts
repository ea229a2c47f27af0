import {describe, expect, test} from 'vitest';
import {EventSplitter} from './_event_splitter.ts';

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
});
