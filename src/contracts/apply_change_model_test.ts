import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
  applyChange,
  type Authority,
  type Change,
  changeSchema,
  decodeSnapshot,
  EMPTY_AUTHORITY,
  encodeSnapshot,
  logEntrySchema,
} from './mod.ts';

/** Only two names, so that changes often refer to the same entities. */
const name = fc.constantFrom('a', 'b');
const poolName = fc.constantFrom('engines', 'services');
const names = fc.uniqueArray(name, {maxLength: 1});
const revision = fc.option(
  fc.oneof(fc.constant(null), fc.integer({min: 1, max: 12})),
  {nil: undefined, freq: 1},
);
const count = fc.integer({min: 0, max: 12});
const digest = name.map(letter => letter.repeat(64));
const record = <Shape extends Record<string, unknown>>(
  kind: string,
  shape: {[Key in keyof Shape]: fc.Arbitrary<Shape[Key]>},
) => fc.record({kind: fc.constant(kind), ...shape});

const change: fc.Arbitrary<Change> = fc
  .oneof(
    record('put_contract', {
      contract: fc.record({
        team: name,
        models: names,
        adapters: names,
        services: names,
        tokensPerSecond: fc.constant(1),
        burstTokens: fc.constant(1),
      }),
      expectedRevision: revision,
    }),
    record('end_contract', {team: name, expectedRevision: revision}),
    record('issue_key', {key: fc.record({keyId: name, team: name, digest})}),
    record('withdraw_key', {keyId: name}),
    record('remove_key', {keyId: name}),
    record('put_route', {route: fc.record({name, pool: poolName})}),
    record('remove_route', {name, expectedRevision: revision}),
    record('put_pool', {
      pool: fc.record({
        name: poolName,
        kind: fc.constantFrom('engine', 'service'),
      }),
      expectedRevision: revision,
    }),
    record('remove_pool', {name: poolName, expectedRevision: revision}),
    record('put_endpoint', {
      endpoint: fc.record({
        name,
        pool: poolName,
        protocol: fc.constantFrom('http', 'limpet-engine-1'),
        address: fc.constant('http://127.0.0.1:1'),
        dataCentre: fc.constant('dc'),
      }),
    }),
    record('remove_endpoint', {name, expectedRevision: revision}),
    record('put_model', {
      model: fc.record({name, pool: poolName, memoryMegabytes: fc.constant(1)}),
      expectedRevision: revision,
    }),
    record('remove_model', {name, expectedRevision: revision}),
    record('put_adapter', {
      adapter: fc.record({
        name: fc.constantFrom('a', 'x'),
        baseModel: name,
        memoryMegabytes: fc.constant(1),
      }),
    }),
    record('remove_adapter', {name}),
    record('add_member', {
      member: fc.record({
        hostId: name,
        peerAddress: fc.constant('ws://127.0.0.1:1'),
        callerAddress: fc.constant('http://127.0.0.1:1'),
        dataCentre: fc.constant('dc'),
      }),
      afterMemberVersion: count,
    }),
    record('remove_member', {hostId: name, afterMemberVersion: count}),
    record('grant_lease', {
      scope: name,
      holder: fc.record({hostId: name, incarnation: name}),
      expectedEpoch: fc.integer({min: 0, max: 2}),
    }),
    record('release_lease', {
      scope: name,
      expectedEpoch: fc.integer({min: 1, max: 2}),
    }),
    record('put_quarantine', {
      entry: fc.record({
        fingerprint: digest,
        team: name,
        route: fc.constant('/'),
        endpoints: names,
        state: fc.constantFrom('suspect', 'quarantined'),
        expiresAt: fc.constant('2030-01-01T00:00:00Z'),
      }),
    }),
    record('release_quarantine', {fingerprint: digest}),
  )
  .map(input => changeSchema.parse(input));

/** A change, and whether its expected versions are taken from the state. */
const steps = fc.array(fc.record({change, current: fc.boolean()}), {
  minLength: 20,
  maxLength: 60,
  size: 'max',
});

/** Initial changes; without pools and a contract most others are rejected. */
const FIRST_STEPS = [
  {kind: 'put_pool', pool: {name: 'engines', kind: 'engine'}},
  {kind: 'put_pool', pool: {name: 'services', kind: 'service'}},
  {
    kind: 'put_contract',
    contract: {
      team: 'a',
      models: [],
      adapters: [],
      services: [],
      tokensPerSecond: 1,
      burstTokens: 1,
    },
  },
].map(first => ({change: changeSchema.parse(first), current: false}));

function withCurrentState(input: Change, authority: Authority): Change {
  const {memberVersion} = authority;
  if ('afterMemberVersion' in input) {
    return {...input, afterMemberVersion: memberVersion};
  }
  if ('expectedEpoch' in input) {
    const epoch = authority.leases.get(input.scope)?.epoch ?? 0;
    return {...input, expectedEpoch: epoch};
  }
  if ('expectedRevision' in input) {
    return {...input, expectedRevision: undefined};
  }
  return input;
}

type Row = Record<string, unknown> & {revision: number};
type Rows = Record<string, Row>;

/** Reference model: plain rows; a change that violates a rule is discarded. */
interface ModelState {
  version: number;
  memberVersion: number;
  previousMembers: string[];
  rows: Record<string, Rows>;
}

/**
 * Collection, key and new entity of a change; undefined if it removes the row.
 */
function target(input: Change): [string, string, object | undefined] {
  switch (input.kind) {
    case 'put_contract':
      return ['contracts', input.contract.team, input.contract];
    case 'end_contract':
      return ['contracts', input.team, undefined];
    case 'issue_key':
      return ['keys', input.key.keyId, input.key];
    case 'withdraw_key':
      return ['keys', input.keyId, {withdrawn: true}];
    case 'remove_key':
      return ['keys', input.keyId, undefined];
    case 'put_route':
      return ['routes', input.route.name, input.route];
    case 'remove_route':
      return ['routes', input.name, undefined];
    case 'put_pool':
      return ['pools', input.pool.name, input.pool];
    case 'remove_pool':
      return ['pools', input.name, undefined];
    case 'put_endpoint':
      return ['endpoints', input.endpoint.name, input.endpoint];
    case 'remove_endpoint':
      return ['endpoints', input.name, undefined];
    case 'put_model':
      return ['models', input.model.name, input.model];
    case 'remove_model':
      return ['models', input.name, undefined];
    case 'put_adapter':
      return ['adapters', input.adapter.name, input.adapter];
    case 'remove_adapter':
      return ['adapters', input.name, undefined];
    case 'add_member':
      return ['members', input.member.hostId, input.member];
    case 'remove_member':
      return ['members', input.hostId, undefined];
    case 'grant_lease':
      return [
        'leases',
        input.scope,
        {scope: input.scope, holder: input.holder},
      ];
    case 'release_lease':
      return ['leases', input.scope, {holder: null}];
    case 'put_quarantine':
      return ['quarantine', input.entry.fingerprint, input.entry];
    case 'release_quarantine':
      return ['quarantine', input.fingerprint, undefined];
  }
}

/** Whether every reference between rows is valid. */
function isConsistent(rows: Record<string, Rows>): boolean {
  const all = (collection: string) => Object.values(rows[collection]!);
  const has = (collection: string, key: unknown) =>
    rows[collection]![key as string] !== undefined;
  const hasKind = (row: Row, kind: string) =>
    rows['pools']![row['pool'] as string]?.['kind'] === kind;
  return (
    all('models').every(row => hasKind(row, 'engine')) &&
    all('routes').every(row => hasKind(row, 'service')) &&
    all('endpoints').every(row =>
      hasKind(row, row['protocol'] === 'http' ? 'service' : 'engine'),
    ) &&
    all('adapters').every(
      row => has('models', row['baseModel']) && !has('models', row['name']),
    ) &&
    all('keys').every(
      row => row['withdrawn'] || has('contracts', row['team']),
    ) &&
    all('contracts').every(row =>
      [
        ['models', 'models'],
        ['adapters', 'adapters'],
        ['services', 'routes'],
      ].every(([list, collection]) =>
        (row[list!] as string[]).every(key => has(collection!, key)),
      ),
    )
  );
}

function applyToModel(
  state: ModelState,
  input: Change,
): ModelState | undefined {
  const next = structuredClone(state);
  const [collection, key, entity] = target(input);
  const rows = next.rows[collection]!;
  const current = rows[key];
  next.version++;
  const expected =
    'expectedRevision' in input ? input.expectedRevision : undefined;
  if (expected !== undefined && (current?.revision ?? null) !== expected) {
    return undefined;
  }
  const creates = /^(put|issue|add|grant)/.test(input.kind);
  if (!creates && current === undefined) return undefined;
  if (input.kind === 'issue_key' && current !== undefined) return undefined;
  if (input.kind === 'remove_key' && !current!['withdrawn']) return undefined;
  const changesMembers =
    input.kind === 'remove_member' ||
    (input.kind === 'add_member' && current === undefined);
  if (changesMembers) {
    if (input.afterMemberVersion !== state.memberVersion) return undefined;
    next.memberVersion = next.version;
    next.previousMembers = Object.keys(state.rows['members']!);
  }
  if ('expectedEpoch' in input) {
    if (((current?.['epoch'] as number) ?? 0) !== input.expectedEpoch) {
      return undefined;
    }
  }
  if (entity === undefined) {
    delete rows[key];
  } else {
    const merges = /^(withdraw|release)/.test(input.kind);
    rows[key] = {
      ...(merges ? current : {}),
      ...structuredClone(entity),
      revision: next.version,
    };
  }
  if (input.kind === 'grant_lease') {
    rows[key]!['epoch'] = input.expectedEpoch + 1;
    rows[key]!['afterRelease'] = (current?.['holder'] ?? null) === null;
  }
  if (input.kind === 'end_contract') {
    for (const row of Object.values(next.rows['keys']!)) {
      if (row['team'] !== key || row['withdrawn']) continue;
      row['withdrawn'] = true;
      row.revision = next.version;
    }
  }
  return isConsistent(next.rows) ? next : undefined;
}

const COLLECTIONS = [
  'contracts',
  'keys',
  'routes',
  'pools',
  'endpoints',
  'models',
  'adapters',
  'members',
  'leases',
  'quarantine',
] as const;

function toModel(authority: Authority): ModelState {
  const rows = Object.fromEntries(
    COLLECTIONS.map(collection => [
      collection,
      Object.fromEntries(authority[collection]),
    ]),
  );
  const {version, memberVersion} = authority;
  const previousMembers = [...authority.previousMembers];
  return {version, memberVersion, previousMembers, rows};
}

// Guards against rules that applyChange misses or applies wrongly, a replay of
// the log that gives another state, and values that are lost in encoding.
test('applyChange agrees with the reference model', () => {
  const kinds = new Set<string>();
  fc.assert(
    fc.property(steps, chosen => {
      let authority = EMPTY_AUTHORITY;
      let model = toModel(EMPTY_AUTHORITY);
      const log: string[] = [];
      for (const step of [...FIRST_STEPS, ...chosen]) {
        const input = step.current
          ? withCurrentState(step.change, authority)
          : step.change;
        const outcome = applyChange(authority, input);
        const expected = applyToModel(model, input);
        expect([input, outcome.ok]).toEqual([input, expected !== undefined]);
        if (!outcome.ok || expected === undefined) continue;
        kinds.add(input.kind);
        authority = outcome.value;
        model = expected;
        expect(toModel(authority)).toEqual(model);
        log.push(
          JSON.stringify({
            format: 1,
            version: authority.version,
            changeId: 'c',
            author: 'op',
            committedAt: '2030-01-01T00:00:00Z',
            change: input,
          }),
        );
      }
      let replayed = EMPTY_AUTHORITY;
      for (const line of log) {
        const entry = logEntrySchema.parse(JSON.parse(line));
        const outcome = applyChange(replayed, entry.change);
        if (outcome.ok) replayed = outcome.value;
      }
      expect(replayed).toEqual(authority);
      const decoded = decodeSnapshot(encodeSnapshot(authority));
      expect(decoded).toEqual({ok: true, value: authority});
    }),
    {numRuns: 300, seed: 20301},
  );
  // Every kind of change must have been accepted at least once.
  const known = changeSchema.options.map(option => option.shape.kind.value);
  expect([...kinds].sort()).toEqual(known.sort());
});
