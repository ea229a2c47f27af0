import {createHash} from 'node:crypto';
import {describe, expect, test} from 'vitest';
import {decodeSnapshot, EMPTY_AUTHORITY, encodeSnapshot} from './mod.ts';

const GOOD = encodeSnapshot({...EMPTY_AUTHORITY, version: 7});

interface Envelope {
  format: number;
  digest: string;
  authority: string;
}

/** Encoded snapshot with a modified envelope. */
function modifyEnvelope(change: (envelope: Envelope) => void): Uint8Array {
  const envelope = JSON.parse(new TextDecoder().decode(GOOD)) as Envelope;
  change(envelope);
  return new TextEncoder().encode(JSON.stringify(envelope));
}

/** Encoded snapshot with modified content and a matching digest. */
function modifyContent(change: (content: Record<string, unknown>) => void) {
  return modifyEnvelope(envelope => {
    const content = JSON.parse(envelope.authority) as Record<string, unknown>;
    change(content);
    envelope.authority = JSON.stringify(content);
    envelope.digest = createHash('sha256')
      .update(envelope.authority)
      .digest('hex');
  });
}

describe('decodeSnapshot', () => {
  // Guards against a host that starts from a partially decoded state.
  const cases = [
    {name: 'a valid snapshot', bytes: GOOD, kind: undefined},
    {name: 'a truncated snapshot', bytes: GOOD.slice(0, -9), kind: 'damaged'},
    {name: 'an empty object', bytes: new Uint8Array(), kind: 'damaged'},
    {
      name: 'a wrong digest',
      bytes: modifyEnvelope(envelope => (envelope.digest = 'f'.repeat(64))),
      kind: 'damaged',
    },
    {
      name: 'a newer format',
      bytes: modifyEnvelope(envelope => (envelope.format = 2)),
      kind: 'unknown_format',
    },
    {
      name: 'a missing collection',
      bytes: modifyContent(content => delete content['keys']),
      kind: 'unknown_format',
    },
    {
      name: 'an unknown collection',
      bytes: modifyContent(content => (content['regions'] = [])),
      kind: 'unknown_format',
    },
  ];
  test.each(cases)('$name: $kind', ({bytes, kind}) => {
    const decoded = decodeSnapshot(bytes);
    expect(decoded.ok ? undefined : decoded.error.kind).toBe(kind);
    if (decoded.ok) expect(decoded.value.version).toBe(7);
  });
});
