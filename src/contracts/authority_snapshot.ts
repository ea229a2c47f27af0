import {createHash} from 'node:crypto';
import {z} from 'zod';
import {failure, type Result, success} from '../errors/mod.ts';
import {adapterSchema} from './adapter.ts';
import type {Authority} from './authority.ts';
import {contractSchema} from './contract.ts';
import {endpointSchema} from './endpoint.ts';
import {keyRecordSchema} from './key_record.ts';
import {leaseSchema} from './lease.ts';
import {memberSchema} from './member.ts';
import {modelSchema} from './model.ts';
import {poolSchema} from './pool.ts';
import {quarantineEntrySchema} from './quarantine_entry.ts';
import {serviceRouteSchema} from './service_route.ts';

const revision = {revision: z.number().int().positive()};

// Strict, so that a collection added by a newer version is rejected and not
// silently dropped.
const authoritySchema = z.strictObject({
  version: z.number().int().nonnegative(),
  contracts: z.array(contractSchema.extend(revision)),
  keys: z.array(keyRecordSchema.extend(revision)),
  routes: z.array(serviceRouteSchema.extend(revision)),
  pools: z.array(poolSchema.extend(revision)),
  endpoints: z.array(endpointSchema.extend(revision)),
  models: z.array(modelSchema.extend(revision)),
  adapters: z.array(adapterSchema.extend(revision)),
  members: z.array(memberSchema.extend(revision)),
  previousMembers: z.array(z.string()),
  memberVersion: z.number().int().nonnegative(),
  leases: z.array(leaseSchema.extend(revision)),
  quarantine: z.array(quarantineEntrySchema.extend(revision)),
});

const snapshotSchema = z.object({
  /** Format of the snapshot; readers reject unknown formats. */
  format: z.literal(1),
  digest: z.string(),
  authority: z.string(),
});

/** Why a snapshot cannot be used. */
export interface SnapshotError {
  readonly kind: 'damaged' | 'unknown_format';
  readonly reason: string;
}

/** Serializes an authority with a SHA-256 digest. */
export function encodeSnapshot(authority: Authority): Uint8Array {
  const content = JSON.stringify({
    version: authority.version,
    contracts: [...authority.contracts.values()],
    keys: [...authority.keys.values()],
    routes: [...authority.routes.values()],
    pools: [...authority.pools.values()],
    endpoints: [...authority.endpoints.values()],
    models: [...authority.models.values()],
    adapters: [...authority.adapters.values()],
    members: [...authority.members.values()],
    previousMembers: [...authority.previousMembers],
    memberVersion: authority.memberVersion,
    leases: [...authority.leases.values()],
    quarantine: [...authority.quarantine.values()],
  });
  const snapshot = {format: 1, digest: digestOf(content), authority: content};
  return new TextEncoder().encode(JSON.stringify(snapshot));
}

/** Parses a snapshot and checks its digest and schema. */
export function decodeSnapshot(
  bytes: Uint8Array,
): Result<Authority, SnapshotError> {
  let json: unknown;
  try {
    json = JSON.parse(new TextDecoder().decode(bytes));
  } catch (error) {
    return failure({kind: 'damaged', reason: String(error)});
  }
  const envelope = snapshotSchema.safeParse(json);
  if (!envelope.success) {
    const reason = z.prettifyError(envelope.error);
    return failure({kind: 'unknown_format', reason});
  }
  if (digestOf(envelope.data.authority) !== envelope.data.digest) {
    return failure({kind: 'damaged', reason: 'The digest does not match'});
  }
  const parsed = authoritySchema.safeParse(JSON.parse(envelope.data.authority));
  if (!parsed.success) {
    const reason = z.prettifyError(parsed.error);
    return failure({kind: 'unknown_format', reason});
  }
  const content = parsed.data;
  return success({
    version: content.version,
    contracts: indexBy(content.contracts, contract => contract.team),
    keys: indexBy(content.keys, key => key.keyId),
    routes: indexBy(content.routes, route => route.name),
    pools: indexBy(content.pools, pool => pool.name),
    endpoints: indexBy(content.endpoints, endpoint => endpoint.name),
    models: indexBy(content.models, model => model.name),
    adapters: indexBy(content.adapters, adapter => adapter.name),
    members: indexBy(content.members, member => member.hostId),
    previousMembers: new Set(content.previousMembers),
    memberVersion: content.memberVersion,
    leases: indexBy(content.leases, lease => lease.scope),
    quarantine: indexBy(content.quarantine, entry => entry.fingerprint),
  });
}

function digestOf(content: string): string {
  return createHash('sha256').update(content).digest('hex');
}

function indexBy<Entity>(
  entities: readonly Entity[],
  keyOf: (entity: Entity) => string,
): Map<string, Entity> {
  return new Map(entities.map(entity => [keyOf(entity), entity]));
}
