import {z} from 'zod';
import {nameSchema} from './_schemas.ts';

/** Schema of {@link KeyRecord}. */
export const keyRecordSchema = z.strictObject({
  keyId: nameSchema,
  team: nameSchema,
  /** SHA-256 digest of the secret, in hexadecimal. */
  digest: z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in hex'),
  withdrawn: z.boolean().default(false),
});

/** An API key of a team; the secret itself is never stored. */
export type KeyRecord = z.infer<typeof keyRecordSchema>;
