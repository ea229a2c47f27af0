import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {ByteCollector} from './byte_collector.ts';

describe('ByteCollector', () => {
  test('returns the bytes in order, however they are divided', () => {
    fc.assert(
      fc.property(
        fc.array(fc.uint8Array({maxLength: 3000}), {maxLength: 60}),
        pieces => {
          const collector = new ByteCollector();
          for (const piece of pieces) collector.append(piece);
          const expected = Buffer.concat(pieces);
          expect(collector.length).toBe(expected.length);
          expect(collector.take().equals(expected)).toBe(true);
          expect(collector.length).toBe(0);
          expect(collector.take().length).toBe(0);
        },
      ),
      {seed: 1, numRuns: 200},
    );
  });

  // Guards against bytes of a stream that are lost or change their order while held.
  test('returns the bytes in order in blocks, while others arrive', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            piece: fc.uint8Array({maxLength: 3000}),
            takes: fc.boolean(),
          }),
          {maxLength: 60},
        ),
        steps => {
          const collector = new ByteCollector();
          const taken: Uint8Array[] = [];
          for (const {piece, takes} of steps) {
            collector.append(piece);
            const block = takes ? collector.takeBlock() : undefined;
            if (block !== undefined) taken.push(block);
          }
          taken.push(collector.take());
          const expected = Buffer.concat(steps.map(({piece}) => piece));
          expect(Buffer.concat(taken).equals(expected)).toBe(true);
          expect(collector.takeBlock()).toBeUndefined();
        },
      ),
      {seed: 1, numRuns: 200},
    );
  });

  test('keeps no reference to the memory of a piece', () => {
    const collector = new ByteCollector();
    const piece = Buffer.from('abc');
    collector.append(piece);
    piece.fill(0);
    expect(collector.take().toString()).toBe('abc');
  });
});
