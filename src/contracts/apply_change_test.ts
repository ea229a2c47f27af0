import {describe, expect, test} from 'vitest';
import {
  applyChange,
  type Authority,
  type Change,
  changeSchema,
  EMPTY_AUTHORITY,
} from './mod.ts';

const DIGEST = 'a'.repeat(64);

/** Parses a change and fills in the defaults. */
function change(input: unknown): Change {
  return changeSchema.parse(input);
}

function build(...inputs: readonly unknown[]): Authority {
  let authority = EMPTY_AUTHORITY;
  for (const input of inputs) {
    const outcome = applyChange(authority, change(input));
    if (!outcome.ok) throw new Error(JSON.stringify(outcome.error));
    authority = outcome.value;
  }
  return authority;
}

const pool = (name: string, kind: string) => ({
  kind: 'put_pool',
  pool: {name, kind},
});
const endpoint = (poolName: string, protocol: string, more = {}) => ({
  kind: 'put_endpoint',
  endpoint: {
    name: 'endpoint-1',
    pool: poolName,
    protocol,
    address: 'http://127.0.0.1:1',
    dataCentre: 'dc-1',
  },
  ...more,
});
const model = (name: string, more = {}) => ({
  kind: 'put_model',
  model: {name, pool: 'engines', memoryMegabytes: 10},
  ...more,
});
const adapter = (name: string, baseModel: string) => ({
  kind: 'put_adapter',
  adapter: {name, baseModel, memoryMegabytes: 1},
});
const route = (poolName: string) => ({
  kind: 'put_route',
  route: {name: 'stock', pool: poolName},
});
const contract = (lists: object, more = {}) => ({
  kind: 'put_contract',
  contract: {
    team: 'workshop',
    models: [],
    adapters: [],
    services: [],
    tokensPerSecond: 10,
    burstTokens: 20,
    ...lists,
  },
  ...more,
});
const key = (team: string) => ({
  kind: 'issue_key',
  key: {keyId: 'key-1', team, digest: DIGEST},
});
const member = (hostId: string, afterMemberVersion: number) => ({
  kind: 'add_member',
  member: {
    hostId,
    peerAddress: 'ws://127.0.0.1:1',
    callerAddress: 'http://127.0.0.1:2',
    dataCentre: 'dc-1',
  },
  afterMemberVersion,
});
const grant = (expectedEpoch: number) => ({
  kind: 'grant_lease',
  scope: 'team:workshop',
  holder: {hostId: 'host-1', incarnation: 'i1'},
  expectedEpoch,
});
const quarantine = {
  kind: 'put_quarantine',
  entry: {
    fingerprint: DIGEST,
    team: 'workshop',
    route: '/v1',
    endpoints: [],
    state: 'suspect',
    expiresAt: '2030-01-01T00:00:00Z',
  },
};

// State at version 9, after nine changes.
const BASE = build(
  pool('engines', 'engine'),
  pool('services', 'service'),
  model('model-1'),
  adapter('adapter-1', 'model-1'),
  route('services'),
  contract({
    models: ['model-1'],
    adapters: ['adapter-1'],
    services: ['stock'],
  }),
  key('workshop'),
  member('host-1', 0),
  grant(0),
);

describe('applyChange accepts', () => {
  const cases: {change: object; effect: (next: Authority) => unknown}[] = [
    {
      change: pool('spare', 'engine'),
      effect: next => next.pools.get('spare')?.revision === 10,
    },
    {
      change: endpoint('engines', 'limpet-engine-1'),
      effect: next => next.endpoints.has('endpoint-1'),
    },
    {
      change: model('model-1', {expectedRevision: 3}),
      effect: next => next.models.get('model-1')?.revision === 10,
    },
    {
      change: model('model-2', {expectedRevision: null}),
      effect: next => next.models.has('model-2'),
    },
    {
      change: {kind: 'end_contract', team: 'workshop'},
      effect: next =>
        next.keys.get('key-1')?.withdrawn && !next.contracts.has('workshop'),
    },
    {
      change: {kind: 'withdraw_key', keyId: 'key-1'},
      effect: next => next.keys.get('key-1')?.withdrawn,
    },
    {
      change: member('host-2', 8),
      effect: next =>
        next.memberVersion === 10 &&
        next.members.size === 2 &&
        next.previousMembers.size === 1,
    },
    {
      // A new address of a member does not depend on earlier member changes.
      change: member('host-1', 0),
      effect: next =>
        next.memberVersion === 8 && next.members.get('host-1')?.revision === 10,
    },
    {
      change: {kind: 'remove_member', hostId: 'host-1', afterMemberVersion: 8},
      effect: next =>
        next.members.size === 0 && next.previousMembers.has('host-1'),
    },
    {
      change: grant(1),
      effect: next => {
        const lease = next.leases.get('team:workshop');
        return lease?.epoch === 2 && !lease.afterRelease;
      },
    },
    {
      change: {
        kind: 'release_lease',
        scope: 'team:workshop',
        expectedEpoch: 1,
      },
      effect: next => next.leases.get('team:workshop')?.holder === null,
    },
    {change: quarantine, effect: next => next.quarantine.has(DIGEST)},
  ];
  test.each(cases)('$change', ({change: input, effect}) => {
    const outcome = applyChange(BASE, change(input));
    expect(outcome.ok).toBe(true);
    if (!outcome.ok) return;
    expect(outcome.value.version).toBe(10);
    expect(effect(outcome.value)).toBe(true);
    // Guards against an in-place change of a state that other code still uses.
    expect(BASE.version).toBe(9);
    expect(effect(BASE)).not.toBe(true);
  });
});

describe('applyChange rejects', () => {
  const cases: {change: object; rejection: object}[] = [
    {
      change: model('model-1', {expectedRevision: 2}),
      rejection: {kind: 'revision_conflict', expected: 2, actual: 3},
    },
    {
      change: model('model-1', {expectedRevision: null}),
      rejection: {kind: 'revision_conflict', expected: null, actual: 3},
    },
    {
      change: contract({}, {expectedRevision: 1}),
      rejection: {kind: 'revision_conflict', entity: 'contract workshop'},
    },
    {
      change: {kind: 'remove_endpoint', name: 'endpoint-1'},
      rejection: {kind: 'not_found', entity: 'endpoint endpoint-1'},
    },
    {
      change: {kind: 'end_contract', team: 'nobody'},
      rejection: {kind: 'not_found'},
    },
    {
      change: {kind: 'withdraw_key', keyId: 'key-2'},
      rejection: {kind: 'not_found'},
    },
    {
      change: {kind: 'remove_key', keyId: 'key-1'},
      rejection: {kind: 'invalid_reference', reference: 'valid key'},
    },
    {
      change: {kind: 'release_quarantine', fingerprint: DIGEST},
      rejection: {kind: 'not_found'},
    },
    {
      change: {kind: 'remove_member', hostId: 'host-2', afterMemberVersion: 8},
      rejection: {kind: 'not_found'},
    },
    {
      change: {kind: 'release_lease', scope: 'pool:x', expectedEpoch: 1},
      rejection: {kind: 'not_found'},
    },
    {
      change: key('workshop'),
      rejection: {kind: 'already_exists', entity: 'key key-1'},
    },
    {
      change: model('adapter-1'),
      rejection: {kind: 'already_exists', entity: 'adapter adapter-1'},
    },
    {
      change: adapter('model-1', 'model-1'),
      rejection: {kind: 'already_exists', entity: 'model model-1'},
    },
    {
      change: adapter('adapter-2', 'model-9'),
      rejection: {
        kind: 'invalid_reference',
        reference: 'missing model model-9',
      },
    },
    {
      change: {...key('nobody'), key: {...key('nobody').key, keyId: 'key-2'}},
      rejection: {
        kind: 'invalid_reference',
        reference: 'missing contract nobody',
      },
    },
    {
      change: contract({models: ['model-9']}),
      rejection: {
        kind: 'invalid_reference',
        reference: 'missing model model-9',
      },
    },
    {
      change: contract({services: ['nothing']}),
      rejection: {
        kind: 'invalid_reference',
        reference: 'missing route nothing',
      },
    },
    {
      change: endpoint('nowhere', 'http'),
      rejection: {kind: 'invalid_reference', reference: 'missing pool nowhere'},
    },
    {
      change: endpoint('engines', 'http'),
      rejection: {kind: 'invalid_reference'},
    },
    {change: route('engines'), rejection: {kind: 'invalid_reference'}},
    {
      change: pool('engines', 'service'),
      rejection: {kind: 'invalid_reference', reference: 'model model-1'},
    },
    {
      change: {kind: 'remove_pool', name: 'engines'},
      rejection: {kind: 'invalid_reference', reference: 'model model-1'},
    },
    {
      change: {kind: 'remove_model', name: 'model-1'},
      rejection: {kind: 'invalid_reference', reference: 'contract workshop'},
    },
    {
      change: {kind: 'remove_adapter', name: 'adapter-1'},
      rejection: {kind: 'invalid_reference', reference: 'contract workshop'},
    },
    {
      change: {kind: 'remove_route', name: 'stock'},
      rejection: {kind: 'invalid_reference', reference: 'contract workshop'},
    },
    {
      change: member('host-2', 0),
      rejection: {kind: 'member_change_pending', memberVersion: 8},
    },
    {
      change: {kind: 'remove_member', hostId: 'host-1', afterMemberVersion: 7},
      rejection: {kind: 'member_change_pending', memberVersion: 8},
    },
    {
      change: grant(0),
      rejection: {kind: 'epoch_conflict', expected: 0, actual: 1},
    },
    {
      change: {
        kind: 'release_lease',
        scope: 'team:workshop',
        expectedEpoch: 2,
      },
      rejection: {kind: 'epoch_conflict', expected: 2, actual: 1},
    },
  ];
  test.each(cases)(
    '$change as $rejection.kind',
    ({change: input, rejection}) => {
      expect(applyChange(BASE, change(input))).toMatchObject({
        ok: false,
        error: rejection,
      });
    },
  );
});
