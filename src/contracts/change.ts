import {z} from 'zod';
import {nameSchema} from './_schemas.ts';
import {adapterSchema} from './adapter.ts';
import {contractSchema} from './contract.ts';
import {endpointSchema} from './endpoint.ts';
import {keyRecordSchema} from './key_record.ts';
import {leaseHolderSchema} from './lease.ts';
import {memberSchema} from './member.ts';
import {modelSchema} from './model.ts';
import {poolSchema} from './pool.ts';
import {quarantineEntrySchema} from './quarantine_entry.ts';
import {serviceRouteSchema} from './service_route.ts';

/**
 * Revision that the entity must currently have: null if it must not exist,
 * absent if it is not checked.
 */
const expectedRevision = z.number().int().positive().nullable().optional();

/** Schema of {@link Change}. */
export const changeSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('put_contract'),
    contract: contractSchema,
    expectedRevision,
  }),
  z.strictObject({
    kind: z.literal('end_contract'),
    team: nameSchema,
    expectedRevision,
  }),
  z.strictObject({kind: z.literal('issue_key'), key: keyRecordSchema}),
  z.strictObject({kind: z.literal('withdraw_key'), keyId: nameSchema}),
  z.strictObject({kind: z.literal('remove_key'), keyId: nameSchema}),
  z.strictObject({
    kind: z.literal('put_route'),
    route: serviceRouteSchema,
    expectedRevision,
  }),
  z.strictObject({
    kind: z.literal('remove_route'),
    name: nameSchema,
    expectedRevision,
  }),
  z.strictObject({
    kind: z.literal('put_pool'),
    pool: poolSchema,
    expectedRevision,
  }),
  z.strictObject({
    kind: z.literal('remove_pool'),
    name: nameSchema,
    expectedRevision,
  }),
  z.strictObject({
    kind: z.literal('put_endpoint'),
    endpoint: endpointSchema,
    expectedRevision,
  }),
  z.strictObject({
    kind: z.literal('remove_endpoint'),
    name: nameSchema,
    expectedRevision,
  }),
  z.strictObject({
    kind: z.literal('put_model'),
    model: modelSchema,
    expectedRevision,
  }),
  z.strictObject({
    kind: z.literal('remove_model'),
    name: nameSchema,
    expectedRevision,
  }),
  z.strictObject({
    kind: z.literal('put_adapter'),
    adapter: adapterSchema,
    expectedRevision,
  }),
  z.strictObject({
    kind: z.literal('remove_adapter'),
    name: nameSchema,
    expectedRevision,
  }),
  z.strictObject({
    kind: z.literal('add_member'),
    member: memberSchema,
    /** Version of the latest member change known to be in effect. */
    afterMemberVersion: z.number().int().nonnegative(),
  }),
  z.strictObject({
    kind: z.literal('remove_member'),
    hostId: nameSchema,
    /** Version of the latest member change known to be in effect. */
    afterMemberVersion: z.number().int().nonnegative(),
  }),
  z.strictObject({
    kind: z.literal('grant_lease'),
    scope: nameSchema,
    holder: leaseHolderSchema,
    /** Epoch that the lease must currently have; 0 if it must not exist. */
    expectedEpoch: z.number().int().nonnegative(),
  }),
  z.strictObject({
    kind: z.literal('release_lease'),
    scope: nameSchema,
    expectedEpoch: z.number().int().positive(),
  }),
  z.strictObject({
    kind: z.literal('put_quarantine'),
    entry: quarantineEntrySchema,
  }),
  z.strictObject({
    kind: z.literal('release_quarantine'),
    fingerprint: z.string(),
  }),
]);

/** One change of the authority. */
export type Change = z.infer<typeof changeSchema>;

/** Schema of {@link LogEntry}. */
export const logEntrySchema = z.strictObject({
  /** Format of the entry; readers reject unknown formats. */
  format: z.literal(1),
  version: z.number().int().positive(),
  changeId: z.string().min(1),
  author: z.string().min(1),
  committedAt: z.iso.datetime(),
  change: changeSchema,
});

/** A committed change and the version that it produced. */
export type LogEntry = z.infer<typeof logEntrySchema>;
