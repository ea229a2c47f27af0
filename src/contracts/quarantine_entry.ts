import {z} from 'zod';
import {nameSchema} from './_schemas.ts';

/** Schema of {@link QuarantineEntry}. */
export const quarantineEntrySchema = z.strictObject({
  /** SHA-256 digest of team, route and body, in hexadecimal. */
  fingerprint: z.string().regex(/^[0-9a-f]{64}$/),
  team: nameSchema,
  route: z.string().min(1),
  /** Endpoints that failed while running the request, as `name:incarnation`. */
  endpoints: z.array(nameSchema),
  /** A suspect request runs alone; a quarantined one is refused. */
  state: z.enum(['suspect', 'quarantined']),
  expiresAt: z.iso.datetime(),
});

/** A request that was in flight when one or more endpoints failed. */
export type QuarantineEntry = z.infer<typeof quarantineEntrySchema>;
