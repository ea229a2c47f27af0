import {describe, expect, test} from 'vitest';
import {MemoryTable} from '../testing/mod.ts';
import {claimKey} from './claim_row.ts';
import {showClaim} from './show_claim.ts';

const CLAIM = {
  state: 'answered',
  bodyDigest: 'a'.repeat(64),
  requestId: 'req-1',
  hostId: 'host-1',
  incarnation: 'run-1',
  runsUntil: '2030-01-01T00:00:00.000Z',
  expiresAt: '2030-01-02T00:00:00.000Z',
  answer: {kind: 'service', status: 200, headers: {}, body: 'c2VjcmV0'},
} as const;

describe('showClaim', () => {
  const cases = [
    {
      name: 'the claim of the team',
      team: 'workshop',
      key: 'order-7',
      found: true,
    },
    {
      name: 'nothing for another team',
      team: 'office',
      key: 'order-7',
      found: false,
    },
    {
      name: 'nothing for another key',
      team: 'workshop',
      key: 'order-8',
      found: false,
    },
  ];
  // Guards against disclosing one team's claim, or its response, to another.
  test.each(cases)('shows $name', async ({team, key, found}) => {
    const table = new MemoryTable();
    table.put(claimKey('workshop', 'order-7'), CLAIM);
    const shown = await showClaim(table, team, key);
    expect(shown).toMatchObject({
      ok: true,
      value: found ? {state: 'answered', answerKept: true} : undefined,
    });
    expect(JSON.stringify(shown)).not.toContain('c2VjcmV0');
  });
});
