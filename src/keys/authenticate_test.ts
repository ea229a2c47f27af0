import {describe, expect, test} from 'vitest';
import {
  applyChange,
  type Authority,
  type Change,
  changeSchema,
  EMPTY_AUTHORITY,
} from '../contracts/mod.ts';
import {authenticate, checkKeyId, digestSecret, issueKey} from './mod.ts';

const NOW = new Date('2030-01-01T12:00:00Z');

function apply(authority: Authority, ...changes: Change[]): Authority {
  let next = authority;
  for (const change of changes) {
    const outcome = applyChange(next, change);
    if (!outcome.ok) throw new Error(JSON.stringify(outcome.error));
    next = outcome.value;
  }
  return next;
}

function contract(team: string, endsAt: string | null): Change {
  return changeSchema.parse({
    kind: 'put_contract',
    contract: {
      team,
      models: [],
      adapters: [],
      services: [],
      tokensPerSecond: 1,
      burstTokens: 1,
      endsAt,
    },
  });
}

const {record, secret} = issueKey('workshop');
const other = issueKey('office');
const BASE = apply(
  EMPTY_AUTHORITY,
  contract('workshop', null),
  contract('office', null),
  {kind: 'issue_key', key: record},
  {kind: 'issue_key', key: other.record},
);

describe('authenticate', () => {
  const {keyId} = record;
  // Guards against a key that is accepted for another team, or after the key or
  // its contract has ended (I4).
  const cases: {
    name: string;
    changes?: Change[];
    header: string | undefined;
    result: object;
  }[] = [
    {name: 'no header', header: undefined, result: {kind: 'missing_key'}},
    {
      name: 'another scheme',
      header: `Basic ${secret}`,
      result: {kind: 'missing_key'},
    },
    {
      name: 'two secrets',
      header: `Bearer ${secret} ${other.secret}`,
      result: {kind: 'missing_key'},
    },
    {
      name: 'an unknown secret',
      header: 'Bearer ld-unknown',
      result: {kind: 'unknown_key'},
    },
    {
      name: 'the digest as the secret',
      header: `Bearer ${record.digest}`,
      result: {kind: 'unknown_key'},
    },
    {
      name: 'a withdrawn key',
      changes: [{kind: 'withdraw_key', keyId}],
      header: `Bearer ${secret}`,
      result: {kind: 'withdrawn_key', keyId},
    },
    {
      name: 'a removed key',
      changes: [
        {kind: 'withdraw_key', keyId},
        {kind: 'remove_key', keyId},
      ],
      header: `Bearer ${secret}`,
      result: {kind: 'unknown_key'},
    },
    {
      name: 'an ended contract',
      changes: [{kind: 'end_contract', team: 'workshop'}],
      header: `Bearer ${secret}`,
      result: {kind: 'contract_ended', team: 'workshop'},
    },
    {
      name: 'a key of an ended contract that was created again',
      changes: [
        {kind: 'end_contract', team: 'workshop'},
        contract('workshop', null),
      ],
      header: `Bearer ${secret}`,
      result: {kind: 'withdrawn_key', keyId},
    },
    {
      name: 'a contract whose end is now',
      changes: [contract('workshop', '2030-01-01T12:00:00Z')],
      header: `Bearer ${secret}`,
      result: {kind: 'contract_ended', team: 'workshop'},
    },
    {
      name: 'a contract that ends in a second',
      changes: [contract('workshop', '2030-01-01T12:00:01Z')],
      header: `Bearer ${secret}`,
      result: {keyId},
    },
    {name: 'a valid key', header: `bearer  ${secret}`, result: {keyId}},
  ];
  test.each(cases)('$name', ({changes, header, result}) => {
    const authority = apply(BASE, ...(changes ?? []));
    const outcome = authenticate(authority, header, NOW);
    expect(outcome.ok ? outcome.value : outcome.error).toMatchObject(result);
    if (outcome.ok) expect(outcome.value.contract.team).toBe('workshop');
    // The check by key id must give the same result.
    if (header !== `Bearer ${secret}`) return;
    const byKeyId = checkKeyId(authority, keyId, NOW);
    expect(byKeyId.ok ? byKeyId.value : byKeyId.error).toMatchObject(result);
  });
});

test('the digest index reflects each change of the keys', () => {
  let authority = BASE;
  const keys = Array.from({length: 50}, () => issueKey('office'));
  for (const key of keys) {
    const header = `Bearer ${key.secret}`;
    expect(authenticate(authority, header, NOW).ok).toBe(false);
    authority = apply(authority, {kind: 'issue_key', key: key.record});
    expect(authenticate(authority, header, NOW).ok).toBe(true);
  }
  for (const key of keys) {
    const {keyId} = key.record;
    authority = apply(authority, {kind: 'withdraw_key', keyId});
    const header = `Bearer ${key.secret}`;
    expect(authenticate(authority, header, NOW).ok).toBe(false);
  }
  expect(authenticate(authority, `Bearer ${secret}`, NOW).ok).toBe(true);
});

test('issueKey generates unique secrets and records only the digest', () => {
  const keys = Array.from({length: 100}, () => issueKey('workshop'));
  expect(new Set(keys.map(key => key.secret)).size).toBe(100);
  expect(new Set(keys.map(key => key.record.keyId)).size).toBe(100);
  for (const key of keys) {
    expect(key.record.digest).toBe(digestSecret(key.secret));
    expect(JSON.stringify(key.record)).not.toContain(key.secret);
  }
});
