import {describe, expect, test} from 'vitest';
import {decodeTableUpdate, encodeTableUpdate} from './_table_message.ts';

describe('encodeTableUpdate', () => {
  test.each([
    {name: 'a short row', value: Buffer.from('{"state":"ready"}')},
    {name: 'a deleted row', value: undefined},
    {name: 'a configuration', value: Buffer.from('{"models":[]}'.repeat(5000))},
  ])('$name is restored', ({value}) => {
    const update = {
      table: 'op',
      era: 0,
      afterVersion: 3,
      isComplete: false,
      version: 7,
      rows: [{key: 'config', version: 7, value}],
      knownAt: 20,
      regainedAt: undefined,
    };
    const message = encodeTableUpdate(update);
    expect(decodeTableUpdate({...message, hops: 0})).toMatchObject({
      ok: true,
      value: update,
    });
  });

  test('a value that is not compressed data is an error', () => {
    const decoded = decodeTableUpdate({
      kind: 'table_update',
      hops: 0,
      table: 'op',
      era: 0,
      afterVersion: 3,
      isComplete: false,
      version: 7,
      rows: [
        {
          key: 'config',
          version: 7,
          value: Uint8Array.of(255, 254, 253),
          isCompressed: true,
        },
      ],
      knownAt: 20,
      regainedAt: null,
    });
    expect(decoded.ok).toBe(false);
  });

  // Several configurations in quick succession, sent to 15 peers over a link of
  // 14 Mbit/s, kept a host from sending anything else for 2.5 s.
  test('a configuration takes a small part of its size', () => {
    const models = Array.from({length: 350}, (_unused, index) => ({
      name: `model-${index}`,
      weights_mb: 42_000 + index,
      load_time_s: 7.8,
    }));
    const value = Buffer.from(JSON.stringify({models}));
    const [row] = encodeTableUpdate({
      table: 'op',
      era: 0,
      afterVersion: 3,
      isComplete: false,
      version: 7,
      rows: [{key: 'config', version: 7, value}],
      knownAt: 20,
      regainedAt: undefined,
    }).rows;
    expect(row?.value?.length).toBeLessThan(value.length / 4);
  });
});
