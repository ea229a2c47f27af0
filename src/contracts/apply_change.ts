import {failure, type Result, success} from '../errors/mod.ts';
import type {Authority} from './authority.ts';
import type {Change} from './change.ts';
import type {ChangeRejection} from './change_rejection.ts';
import type {Revised} from './contract.ts';

type Outcome = Result<Authority, ChangeRejection>;

/**
 * Applies one change to the authority.
 *
 * @param authority State before the change; it is not modified.
 * @param change Change to apply.
 * @returns The state at the next version, or why the change is rejected.
 */
export function applyChange(authority: Authority, change: Change): Outcome {
  switch (change.kind) {
    case 'put_contract':
      return putContract(authority, change);
    case 'end_contract':
      return endContract(authority, change);
    case 'issue_key':
      return issueKey(authority, change.key);
    case 'withdraw_key':
      return withdrawKey(authority, change.keyId);
    case 'remove_key':
      return removeKey(authority, change.keyId);
    case 'put_route':
      return requirePool(authority, `route ${change.route.name}`, {
        pool: change.route.pool,
        kind: 'service',
        apply: () => put(authority, 'routes', change.route, change),
      });
    case 'remove_route':
      return remove(
        authority,
        'routes',
        change.name,
        change,
        contractsListing(authority, 'services', change.name),
      );
    case 'put_pool':
      return putPool(authority, change);
    case 'remove_pool':
      return removePool(authority, change);
    case 'put_endpoint':
      return requirePool(authority, `endpoint ${change.endpoint.name}`, {
        pool: change.endpoint.pool,
        kind: change.endpoint.protocol === 'http' ? 'service' : 'engine',
        apply: () => put(authority, 'endpoints', change.endpoint, change),
      });
    case 'remove_endpoint':
      return remove(authority, 'endpoints', change.name, change, []);
    case 'put_model':
      return putModel(authority, change);
    case 'remove_model':
      return removeModel(authority, change);
    case 'put_adapter':
      return putAdapter(authority, change);
    case 'remove_adapter':
      return remove(
        authority,
        'adapters',
        change.name,
        change,
        contractsListing(authority, 'adapters', change.name),
      );
    case 'add_member':
      return addMember(authority, change);
    case 'remove_member':
      return removeMember(authority, change);
    case 'grant_lease':
      return grantLease(authority, change);
    case 'release_lease':
      return releaseLease(authority, change);
    case 'put_quarantine':
      return success(
        withEntity(authority, 'quarantine', change.entry.fingerprint, {
          ...change.entry,
          revision: authority.version + 1,
        }),
      );
    case 'release_quarantine': {
      const key = change.fingerprint;
      return remove(authority, 'quarantine', key, {}, []);
    }
  }
}

type ChangeOf<Kind extends Change['kind']> = Extract<Change, {kind: Kind}>;

interface RevisionExpectation {
  readonly expectedRevision?: number | null | undefined;
}

/**
 * Names of the authority's collections, with the noun for one entity in
 * messages.
 */
const ENTITY_NOUNS = {
  contracts: 'contract',
  keys: 'key',
  routes: 'route',
  pools: 'pool',
  endpoints: 'endpoint',
  models: 'model',
  adapters: 'adapter',
  members: 'member',
  leases: 'lease',
  quarantine: 'quarantine entry',
} as const;

type Collection = keyof typeof ENTITY_NOUNS;

type EntityOf<Name extends Collection> =
  Authority[Name] extends ReadonlyMap<string, infer Entity> ? Entity : never;

function withEntity<Name extends Collection>(
  authority: Authority,
  collection: Name,
  key: string,
  entity: EntityOf<Name>,
): Authority {
  const entities = new Map<string, unknown>(authority[collection]);
  entities.set(key, entity);
  return {
    ...authority,
    version: authority.version + 1,
    [collection]: entities,
  };
}

function checkRevision(
  collection: Collection,
  key: string,
  current: {readonly revision: number} | undefined,
  change: RevisionExpectation,
): ChangeRejection | undefined {
  if (change.expectedRevision === undefined) return undefined;
  const actual = current?.revision ?? null;
  if (actual === change.expectedRevision) return undefined;
  return {
    kind: 'revision_conflict',
    entity: `${ENTITY_NOUNS[collection]} ${key}`,
    expected: change.expectedRevision,
    actual,
  };
}

function put<
  Name extends 'routes' | 'pools' | 'endpoints' | 'models' | 'adapters',
>(
  authority: Authority,
  collection: Name,
  entity: Omit<EntityOf<Name>, 'revision'> & {readonly name: string},
  change: RevisionExpectation,
): Outcome {
  const current = authority[collection].get(entity.name);
  const rejection = checkRevision(collection, entity.name, current, change);
  if (rejection !== undefined) return failure(rejection);
  const revised = {...entity, revision: authority.version + 1};
  return success(
    withEntity(
      authority,
      collection,
      entity.name,
      revised as unknown as EntityOf<Name>,
    ),
  );
}

function remove(
  authority: Authority,
  collection: Collection,
  key: string,
  change: RevisionExpectation,
  referrers: readonly string[],
): Outcome {
  const current = authority[collection].get(key);
  const entity = `${ENTITY_NOUNS[collection]} ${key}`;
  if (current === undefined) return failure({kind: 'not_found', entity});
  const rejection = checkRevision(collection, key, current, change);
  if (rejection !== undefined) return failure(rejection);
  const referrer = referrers[0];
  if (referrer !== undefined) {
    return failure({kind: 'invalid_reference', entity, reference: referrer});
  }
  const entities = new Map<string, unknown>(authority[collection]);
  entities.delete(key);
  return success({
    ...authority,
    version: authority.version + 1,
    [collection]: entities,
  });
}

function putContract(
  authority: Authority,
  change: ChangeOf<'put_contract'>,
): Outcome {
  const {contract} = change;
  const current = authority.contracts.get(contract.team);
  const rejection = checkRevision('contracts', contract.team, current, change);
  if (rejection !== undefined) return failure(rejection);
  const missing =
    findMissing(authority.models, 'model', contract.models) ??
    findMissing(authority.adapters, 'adapter', contract.adapters) ??
    findMissing(authority.routes, 'route', contract.services);
  if (missing !== undefined) {
    const entity = `contract ${contract.team}`;
    return failure({
      kind: 'invalid_reference',
      entity,
      reference: `missing ${missing}`,
    });
  }
  return success(
    withEntity(authority, 'contracts', contract.team, {
      ...contract,
      revision: authority.version + 1,
    }),
  );
}

function findMissing(
  entities: ReadonlyMap<string, unknown>,
  noun: string,
  names: readonly string[],
): string | undefined {
  const name = names.find(candidate => !entities.has(candidate));
  return name === undefined ? undefined : `${noun} ${name}`;
}

function endContract(
  authority: Authority,
  change: ChangeOf<'end_contract'>,
): Outcome {
  const ended = remove(authority, 'contracts', change.team, change, []);
  if (!ended.ok) return ended;
  const keys = new Map(authority.keys);
  for (const [keyId, key] of keys) {
    if (key.team !== change.team || key.withdrawn) continue;
    keys.set(keyId, {...key, withdrawn: true, revision: ended.value.version});
  }
  return success({...ended.value, keys});
}

function issueKey(
  authority: Authority,
  key: ChangeOf<'issue_key'>['key'],
): Outcome {
  const entity = `key ${key.keyId}`;
  if (authority.keys.has(key.keyId)) {
    return failure({kind: 'already_exists', entity});
  }
  if (!authority.contracts.has(key.team)) {
    return failure({
      kind: 'invalid_reference',
      entity,
      reference: `missing contract ${key.team}`,
    });
  }
  const revised = {...key, revision: authority.version + 1};
  return success(withEntity(authority, 'keys', key.keyId, revised));
}

function withdrawKey(authority: Authority, keyId: string): Outcome {
  const key = authority.keys.get(keyId);
  if (key === undefined) {
    return failure({kind: 'not_found', entity: `key ${keyId}`});
  }
  const revision = authority.version + 1;
  const withdrawn: typeof key = {...key, withdrawn: true, revision};
  return success(withEntity(authority, 'keys', keyId, withdrawn));
}

/**
 * Removes a withdrawn key. A valid key must be withdrawn first, as an explicit
 * step.
 */
function removeKey(authority: Authority, keyId: string): Outcome {
  const valid = authority.keys.get(keyId)?.withdrawn === false;
  return remove(authority, 'keys', keyId, {}, valid ? ['valid key'] : []);
}

function requirePool(
  authority: Authority,
  entity: string,
  requirement: {
    readonly pool: string;
    readonly kind: 'engine' | 'service';
    readonly apply: () => Outcome;
  },
): Outcome {
  const pool = authority.pools.get(requirement.pool);
  if (pool === undefined) {
    const reference = `missing pool ${requirement.pool}`;
    return failure({kind: 'invalid_reference', entity, reference});
  }
  if (pool.kind !== requirement.kind) {
    const reference = `kind "${pool.kind}" of pool ${pool.name}`;
    return failure({kind: 'invalid_reference', entity, reference});
  }
  return requirement.apply();
}

/**
 * Sets a pool. The kind of a pool in use cannot change, as the entities that
 * refer to the pool were validated against it.
 */
function putPool(authority: Authority, change: ChangeOf<'put_pool'>): Outcome {
  const {name, kind} = change.pool;
  const current = authority.pools.get(name);
  const referrer =
    current === undefined || current.kind === kind
      ? undefined
      : poolReferrers(authority, name)[0];
  if (referrer !== undefined) {
    const entity = `pool ${name}`;
    return failure({kind: 'invalid_reference', entity, reference: referrer});
  }
  return put(authority, 'pools', change.pool, change);
}

function removePool(
  authority: Authority,
  change: ChangeOf<'remove_pool'>,
): Outcome {
  const referrers = poolReferrers(authority, change.name);
  return remove(authority, 'pools', change.name, change, referrers);
}

function poolReferrers(authority: Authority, name: string): string[] {
  return [
    ...namesInPool(authority.endpoints, 'endpoint', name),
    ...namesInPool(authority.models, 'model', name),
    ...namesInPool(authority.routes, 'route', name),
  ];
}

function namesInPool(
  entities: ReadonlyMap<string, {readonly pool: string}>,
  noun: string,
  pool: string,
): string[] {
  return [...entities]
    .filter(([, entity]) => entity.pool === pool)
    .map(([name]) => `${noun} ${name}`);
}

function putModel(
  authority: Authority,
  change: ChangeOf<'put_model'>,
): Outcome {
  const {model} = change;
  // Callers give a model or an adapter in the same field, so their names must
  // not coincide.
  if (authority.adapters.has(model.name)) {
    const entity = `adapter ${model.name}`;
    return failure({kind: 'already_exists', entity});
  }
  return requirePool(authority, `model ${model.name}`, {
    pool: model.pool,
    kind: 'engine',
    apply: () => put(authority, 'models', model, change),
  });
}

function removeModel(
  authority: Authority,
  change: ChangeOf<'remove_model'>,
): Outcome {
  const referrers = [
    ...contractsListing(authority, 'models', change.name),
    ...[...authority.adapters.values()]
      .filter(adapter => adapter.baseModel === change.name)
      .map(adapter => `adapter ${adapter.name}`),
  ];
  return remove(authority, 'models', change.name, change, referrers);
}

function contractsListing(
  authority: Authority,
  list: 'models' | 'adapters' | 'services',
  name: string,
): string[] {
  return [...authority.contracts.values()]
    .filter(contract => contract[list].includes(name))
    .map(contract => `contract ${contract.team}`);
}

function putAdapter(
  authority: Authority,
  change: ChangeOf<'put_adapter'>,
): Outcome {
  const {adapter} = change;
  if (authority.models.has(adapter.name)) {
    const entity = `model ${adapter.name}`;
    return failure({kind: 'already_exists', entity});
  }
  if (!authority.models.has(adapter.baseModel)) {
    return failure({
      kind: 'invalid_reference',
      entity: `adapter ${adapter.name}`,
      reference: `missing model ${adapter.baseModel}`,
    });
  }
  return put(authority, 'adapters', adapter, change);
}

function addMember(
  authority: Authority,
  change: ChangeOf<'add_member'>,
): Outcome {
  const {member} = change;
  const current = authority.members.get(member.hostId);
  if (current === undefined) {
    const pending = pendingMemberChange(authority, change.afterMemberVersion);
    if (pending !== undefined) return failure(pending);
  }
  const revision = authority.version + 1;
  const revised: Revised<typeof member> = {...member, revision};
  const next = withEntity(authority, 'members', member.hostId, revised);
  // A new address of an existing member does not change the quorums.
  if (current !== undefined) return success(next);
  return success({
    ...next,
    previousMembers: new Set(authority.members.keys()),
    memberVersion: revision,
  });
}

function removeMember(
  authority: Authority,
  change: ChangeOf<'remove_member'>,
): Outcome {
  const pending = pendingMemberChange(authority, change.afterMemberVersion);
  if (pending !== undefined) return failure(pending);
  const removed = remove(authority, 'members', change.hostId, {}, []);
  if (!removed.ok) return removed;
  return success({
    ...removed.value,
    previousMembers: new Set(authority.members.keys()),
    memberVersion: removed.value.version,
  });
}

/**
 * Rejects a change of the member list while another one is pending: quorums of
 * two successive lists are only known to overlap for one change at a time.
 */
function pendingMemberChange(
  authority: Authority,
  afterMemberVersion: number,
): ChangeRejection | undefined {
  if (authority.memberVersion === afterMemberVersion) return undefined;
  const {memberVersion} = authority;
  return {kind: 'member_change_pending', memberVersion};
}

function grantLease(
  authority: Authority,
  change: ChangeOf<'grant_lease'>,
): Outcome {
  const current = authority.leases.get(change.scope);
  const actual = current?.epoch ?? 0;
  if (actual !== change.expectedEpoch) {
    return failure(epochConflict(change, actual));
  }
  return success(
    withEntity(authority, 'leases', change.scope, {
      scope: change.scope,
      holder: change.holder,
      epoch: actual + 1,
      afterRelease: current === undefined || current.holder === null,
      revision: authority.version + 1,
    }),
  );
}

function releaseLease(
  authority: Authority,
  change: ChangeOf<'release_lease'>,
): Outcome {
  const current = authority.leases.get(change.scope);
  if (current === undefined) {
    return failure({kind: 'not_found', entity: `lease ${change.scope}`});
  }
  if (current.epoch !== change.expectedEpoch) {
    return failure(epochConflict(change, current.epoch));
  }
  const revision = authority.version + 1;
  const released = {...current, holder: null, revision};
  return success(withEntity(authority, 'leases', change.scope, released));
}

function epochConflict(
  change: {readonly scope: string; readonly expectedEpoch: number},
  actual: number,
): ChangeRejection {
  const {scope, expectedEpoch} = change;
  return {kind: 'epoch_conflict', scope, expected: expectedEpoch, actual};
}
