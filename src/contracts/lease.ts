import {z} from 'zod';
import {nameSchema} from './_schemas.ts';

/** Schema of {@link LeaseHolder}. */
export const leaseHolderSchema = z.strictObject({
  hostId: nameSchema,
  /** Id of one run of the host's process. */
  incarnation: z.string().min(1),
});

/** The process that holds a lease. */
export type LeaseHolder = z.infer<typeof leaseHolderSchema>;

/** Schema of {@link Lease}. */
export const leaseSchema = z.strictObject({
  /** `pool:<name>` or `team:<name>`. */
  scope: nameSchema,
  /** Null after the holder released the lease. */
  holder: leaseHolderSchema.nullable(),
  /** Fencing token; increases by one with each grant. */
  epoch: z.number().int().positive(),
  /**
   * Whether the lease was free, not taken over from a holder, at this grant.
   */
  afterRelease: z.boolean(),
});

/** The exclusive right to make the decisions of one scope. */
export type Lease = z.infer<typeof leaseSchema>;
